//! The HTTP server under each stand-in.

use std::{collections::BTreeMap, convert::Infallible, fmt, future::Future, io, sync::Arc};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::net::TcpListener;

pub type Response = http::Response<UnsyncBoxBody<Bytes, io::Error>>;
pub type Result<T> = std::result::Result<T, Hangup>;

/// The connection is closed without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hangup;

impl fmt::Display for Hangup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed without an answer")
    }
}

impl std::error::Error for Hangup {}

/// A request read to its end.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Request {
    async fn read(request: http::Request<Incoming>) -> Result<Request> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Hangup)?.to_bytes();
        Ok(Request {
            method: head.method,
            path: head.uri.path().to_string(),
            query: parse_query(head.uri.query().unwrap_or_default()),
            headers: head.headers,
            body,
        })
    }

    /// The segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }

    /// A number of the query, zero where there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// The text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// Serves requests until the listener fails.
pub async fn serve<S, F>(
    listener: TcpListener,
    state: Arc<S>,
    handle: fn(Arc<S>, Request) -> F,
) -> anyhow::Result<()>
where
    S: Send + Sync + 'static,
    F: Future<Output = Result<Response>> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let state = state.clone();
        let service = service_fn(move |request| {
            let state = state.clone();
            async move { handle(state, Request::read(request).await?).await }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("web: a connection ended early: {error}");
            }
        });
    }
}

/// An answer with bytes.
pub fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Response {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// An answer with JSON.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = bytes(status, text);
    set_content_type(&mut response, "application/json");
    response
}

/// A successful answer with JSON.
pub fn ok(body: &impl Serialize) -> Response {
    json(StatusCode::OK, body)
}

/// A refusal that says why.
pub fn refuse(status: StatusCode, message: impl fmt::Display) -> Response {
    json(status, &json!({ "error": message.to_string() }))
}

/// A refusal with `Retry-After` in seconds.
pub fn refuse_for(status: StatusCode, seconds: u64, message: impl fmt::Display) -> Response {
    let mut response = refuse(status, message);
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// A stream of server-sent events. An error breaks the connection.
pub fn events(events: impl Stream<Item = io::Result<String>> + Send + 'static) -> Response {
    let frames =
        events.map(|event| event.map(|data| Frame::data(Bytes::from(format!("data: {data}\n\n")))));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    set_content_type(&mut response, "text/event-stream");
    response
}

/// Lays the keys of a JSON object over settings. The error is the answer to the caller.
pub fn merge<T: Serialize + DeserializeOwned>(
    current: &T,
    patch: &[u8],
) -> std::result::Result<T, Box<Response>> {
    let bad = |error: serde_json::Error| Box::new(refuse(StatusCode::BAD_REQUEST, error));
    let patch: BTreeMap<String, Value> = serde_json::from_slice(patch).map_err(bad)?;
    let mut merged = serde_json::to_value(current).map_err(bad)?;
    for (key, value) in patch {
        merged[key] = value;
    }
    serde_json::from_value(merged).map_err(bad)
}

fn set_content_type(response: &mut Response, value: &'static str) {
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(value));
}
