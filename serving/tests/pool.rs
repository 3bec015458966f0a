//! Connections of the pool.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use serving::{
    id::Upstream,
    upstream::{Options, Passthrough, Pool, Request, Settings},
};
use tokio::{io::AsyncReadExt, net::TcpSocket};

/// Size of the request, more than the receiver takes at once and less than the sender's system does.
const BODY_BYTES: usize = 40 << 10;

/// Guards against a request to another node that is delivered after its sender has given it up,
/// because the link between the two was cut: the system must not go on sending it.
#[tokio::test]
async fn request_that_was_given_up_is_not_delivered_later() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(2 << 10).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Arc::new(Pool::resetting(Settings::default()));
    let request = Request {
        id: "item-1".to_string(),
        method: Method::POST,
        target: Uri::from_static("/batch/x"),
        host: "a.example".to_string(),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
        workspace: None,
    };
    let upstream = Upstream::from("node-2");
    let options = Options { upstream: &upstream, deadline: None, resume_after: None, tenure: None };
    let on_head = |_: &_| ();
    let sending = pool.send(&Passthrough, &request, options, address, true, &on_head);
    assert!(tokio::time::timeout(Duration::from_millis(200), sending).await.is_err());
    // The other node reads again only some time later.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut received = Vec::new();
    let result = stream.read_to_end(&mut received).await;
    assert!(result.is_err(), "received {} bytes", received.len());
    assert!(received.len() < BODY_BYTES, "received {} bytes", received.len());
}
