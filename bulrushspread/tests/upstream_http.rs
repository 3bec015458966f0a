//! The HTTP client for upstreams, at upstreams that send bytes without an end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bulrushspread::upstream::{Client as _, Generate, http::Http};
use futures_util::StreamExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

/// How long the client may read.
const BOUND: Duration = Duration::from_secs(5);

/// Starts an upstream that sends `head` and then bytes without an end. Counts the bytes.
async fn start_endless(head: &'static str) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&sent);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        stream.write_all(head.as_bytes()).await.unwrap();
        let block = [b'a'; 16 << 10];
        while stream.write_all(&block).await.is_ok() {
            counter.fetch_add(block.len() as u64, Ordering::Relaxed);
        }
    });
    (address, sent)
}

/// The body of an answer was collected without a limit until the call timed out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answer_is_cut_off() {
    let (address, sent) = start_endless("HTTP/1.1 200 OK\r\n\r\n").await;
    let failure = Http::default().report(address).await.unwrap_err();
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < 100 << 20, "{sent} bytes were read: {failure:?}");
}

/// A line of an event grew without a limit, and the stream never failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_event_is_cut_off() {
    let (address, sent) = start_endless("HTTP/1.1 200 OK\r\n\r\ndata: ").await;
    let generate = Generate {
        id: "r1".to_string(),
        model: "m".to_string(),
        prompt: "p".to_string(),
        max_tokens: 6,
        from: 0,
        resume_text: Vec::new(),
    };
    let mut events = Http::default().generate(address, generate).await.unwrap();
    let event = timeout(BOUND, events.next()).await;
    let sent = sent.load(Ordering::Relaxed);
    let event = event.unwrap_or_else(|_| panic!("no failure after {sent} bytes"));
    assert!(event.is_some_and(|event| event.is_err()));
}
