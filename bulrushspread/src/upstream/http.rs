//! Upstreams over HTTP.
//!
//! Model engines:
//! * `POST /v1/generate` with [`Generate`] as JSON answers server-sent events, each with an
//!   [`Event`] as JSON. 429 and 503 refuse without running the request.
//! * `DELETE /v1/streams/{id}` cancels.
//! * `GET /v1/load` answers [`Report`].
//! * `POST /v1/orders` with [`Order`] as JSON and the fencing number in `x-fence`; 409 refuses
//!   an old number.
//!
//! Plain services get the caller's method, path, headers and body, and answer `GET /load`.

use std::{net::SocketAddr, pin::Pin};

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use futures_util::{
    StreamExt,
    stream::{self, BoxStream},
};
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyStream, Full};
use hyper::body::Incoming;

use crate::{
    time::Millis,
    web::{self, Web, url},
};

use super::{
    Answer, Call, Client, Delivery, Event, Failure, FailureKind, Generate, Order, Report, Result,
};

/// Time within which an engine must accept or refuse a generation.
const ADMIT_TIMEOUT: Millis = Millis(30_000);
/// Time that a report, an order or a cancel may take.
const CONTROL_TIMEOUT: Millis = Millis(2_000);
/// Maximum size of a line of an event. A stream with a longer one is treated as broken.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Where engines report their load.
const ENGINE_LOAD_PATH: &str = "/v1/load";
/// Where plain services report theirs.
const SERVICE_LOAD_PATH: &str = "/load";
/// The header with the fencing number of an order.
const FENCE_HEADER: &str = "x-fence";

/// Upstreams reached over HTTP/1.1.
#[derive(Default)]
pub struct Http {
    web: Web,
}

impl Http {
    async fn load(&self, address: SocketAddr, path: &str) -> Result<Report> {
        let request = json(Method::GET, address, path, Vec::new())?;
        let answer = self.web.send(request, CONTROL_TIMEOUT).await.map_err(failure)?;
        if !answer.status.is_success() {
            return Err(refusal(answer.status));
        }
        serde_json::from_slice(&answer.body).map_err(invalid)
    }
}

#[async_trait]
impl Client for Http {
    async fn call(&self, address: SocketAddr, call: Call) -> Result<Answer> {
        let mut request = Request::builder().method(call.method).uri(url(address, &call.path));
        if let Some(headers) = request.headers_mut() {
            *headers = call.headers;
        }
        let request = request.body(Full::new(call.body)).map_err(invalid)?;
        let answer = self.web.send(request, call.timeout).await.map_err(failure)?;
        Ok(Answer { status: answer.status, headers: answer.headers, body: answer.body })
    }

    async fn generate(
        &self,
        address: SocketAddr,
        generate: Generate,
    ) -> Result<BoxStream<'static, Result<Event>>> {
        let body = serde_json::to_vec(&generate).map_err(invalid)?;
        let request = json(Method::POST, address, "/v1/generate", body)?;
        let response = self.web.open(request, ADMIT_TIMEOUT).await.map_err(failure)?;
        if !response.status().is_success() {
            return Err(refusal(response.status()));
        }
        Ok(events(response.into_body()).boxed())
    }

    async fn cancel(&self, address: SocketAddr, id: &str) -> Result<()> {
        let request = json(Method::DELETE, address, &format!("/v1/streams/{id}"), Vec::new())?;
        self.web.send(request, CONTROL_TIMEOUT).await.map_err(failure)?;
        Ok(())
    }

    async fn report(&self, address: SocketAddr) -> Result<Report> {
        self.load(address, ENGINE_LOAD_PATH).await
    }

    async fn service_report(&self, address: SocketAddr) -> Result<Report> {
        self.load(address, SERVICE_LOAD_PATH).await
    }

    async fn order(&self, address: SocketAddr, order: Order, fence: u64) -> Result<()> {
        let body = serde_json::to_vec(&order).map_err(invalid)?;
        let mut request = json(Method::POST, address, "/v1/orders", body)?;
        request.headers_mut().insert(FENCE_HEADER, fence.into());
        let answer = self.web.send(request, CONTROL_TIMEOUT).await.map_err(failure)?;
        if !answer.status.is_success() {
            return Err(refusal(answer.status));
        }
        Ok(())
    }
}

fn json(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(url(address, path))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(invalid)
}

/// Where the reader of server-sent events stands.
struct Reader {
    body: Pin<Box<BodyStream<Incoming>>>,
    buffer: BytesMut,
    finished: bool,
}

/// Reads events until one carries `finish`. A body that ends earlier ends in a failure.
fn events(body: Incoming) -> impl futures_util::Stream<Item = Result<Event>> + Send {
    let reader =
        Reader { body: Box::pin(BodyStream::new(body)), buffer: BytesMut::new(), finished: false };
    stream::unfold(reader, |mut reader| async move {
        if reader.finished {
            return None;
        }
        let event = next_event(&mut reader).await;
        reader.finished = match &event {
            Ok(event) => event.finish.is_some(),
            Err(_) => true,
        };
        Some((event, reader))
    })
}

async fn next_event(reader: &mut Reader) -> Result<Event> {
    loop {
        if let Some(line) = take_line(&mut reader.buffer) {
            let Some(data) = line.strip_prefix(b"data:") else { continue };
            return serde_json::from_slice(data).map_err(invalid_event);
        }
        if reader.buffer.len() > MAX_LINE_BYTES {
            return Err(invalid_event("a line of an event is too long"));
        }
        let frame =
            reader.body.next().await.ok_or_else(|| disconnected("the stream ended early"))?;
        if let Ok(data) = frame.map_err(disconnected)?.into_data() {
            reader.buffer.extend_from_slice(&data);
        }
    }
}

fn take_line(buffer: &mut BytesMut) -> Option<BytesMut> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    Some(buffer.split_to(end + 1))
}

fn failure(error: web::Error) -> Failure {
    let (delivery, kind) = match error {
        web::Error::NotSent(_) => (Delivery::NotSent, FailureKind::Disconnected),
        web::Error::Sent(_) => (Delivery::Sent, FailureKind::Disconnected),
        web::Error::TimedOut(_) => (Delivery::Sent, FailureKind::TimedOut),
    };
    Failure { delivery, kind, message: error.to_string() }
}

fn refusal(status: StatusCode) -> Failure {
    let kind = match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT => {
            FailureKind::Refused
        }
        _ => FailureKind::Failed,
    };
    Failure { delivery: Delivery::Sent, kind, message: format!("status {status}") }
}

fn invalid(error: impl std::fmt::Display) -> Failure {
    let (delivery, kind) = (Delivery::NotSent, FailureKind::Failed);
    Failure { delivery, kind, message: error.to_string() }
}

fn invalid_event(error: impl std::fmt::Display) -> Failure {
    Failure { delivery: Delivery::Sent, kind: FailureKind::Failed, message: error.to_string() }
}

fn disconnected(error: impl std::fmt::Display) -> Failure {
    let (delivery, kind) = (Delivery::Sent, FailureKind::Disconnected);
    Failure { delivery, kind, message: error.to_string() }
}
