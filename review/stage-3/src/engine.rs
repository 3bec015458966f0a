//! A sound server: it works on each request for a while and answers it. It can crash and start again at its
//! address.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http;

/// The body of a request that crashes the servers that run it.
pub const POISON: &[u8] = b"poison";

/// A request that the server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    /// The event after which the request goes on.
    pub after: u32,
}

/// How a server works.
#[derive(Clone, Debug)]
pub struct Kind {
    pub version: String,
    /// Time for an answer, or between two events of a stream, which paths with `stream` get.
    pub work: Duration,
    pub events: u32,
}

/// One start of a server.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    pub runs: Mutex<Vec<Run>>,
    kind: Kind,
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Engine {
    pub fn start(id: &str, kind: Kind) -> std::io::Result<Arc<Engine>> {
        Engine::start_at(id, "127.0.0.1:0".parse().expect("an address"), kind)
    }

    pub fn start_at(id: &str, address: SocketAddr, kind: Kind) -> std::io::Result<Arc<Engine>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let engine = Arc::new(Engine {
            id: id.to_string(),
            address,
            born: born.as_millis() as u64,
            runs: Mutex::default(),
            kind,
            is_down: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let accepting = Arc::clone(&engine);
        thread::spawn(move || {
            while !accepting.is_down() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    accepting.streams.lock().expect("no panic").push(clone);
                }
                let engine = Arc::clone(&accepting);
                thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Ends the server in the middle of its answers.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        // The listener closes before the connections end.
        thread::sleep(Duration::from_millis(10));
        for stream in self.streams.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = http::read_request(&mut stream, &mut buffer) {
            if self.is_down() {
                return;
            }
            if request.path() == "/api/report" {
                let report = format!(
                    "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":1,\"waiting\":0,\"running\":0,\"born\":{}}}",
                    self.born
                );
                let answer = http::response(200, &[], report.as_bytes());
                if stream.write_all(&answer).is_err() {
                    return;
                }
                continue;
            }
            let id = request.header("x-bulrushspread-attempt-id").unwrap_or_default().to_string();
            let expected = request.header("x-bulrushspread-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("X-Bulrushspread-Attempt-Id", &*id)];
                if stream.write_all(&http::response(421, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            if request.body == POISON {
                let run = Run { id, at: Instant::now(), after: 0 };
                self.runs.lock().expect("no panic").push(run);
                return self.crash();
            }
            let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
            let run = Run { id: id.clone(), at: Instant::now(), after };
            self.runs.lock().expect("no panic").push(run);
            let headers = [
                ("X-Bulrushspread-Attempt-Id", &*id),
                ("X-Bulrushspread-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            if !request.path().contains("stream") {
                thread::sleep(self.kind.work);
                if stream.write_all(&http::response(200, &headers, b"done")).is_err() {
                    return;
                }
                continue;
            }
            let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_string();
            for (name, value) in headers {
                head += &format!("{name}: {value}\r\n");
            }
            head += "Transfer-Encoding: chunked\r\n\r\n";
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            for event in after + 1..=self.kind.events {
                thread::sleep(self.kind.work);
                if self.is_down() {
                    return;
                }
                let text = format!("id: {event}\ndata: {} {event}\n\n", self.kind.version);
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
            }
            if stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }

    /// The entry in the platform's store.
    pub fn entry(&self, service: &str, slots: u32, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address, crate::node::ZONE, self.kind.version, self.born
        )
    }
}
