//! Answers as the gateway sends them: refusals from the error table, JSON and event streams.

use std::convert::Infallible;

use bytes::Bytes;
use dropshot::{Body, HttpError};
use futures_util::{Stream, StreamExt};
use http::{
    Response, StatusCode,
    header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER},
};
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Serialize;

use crate::error::{Error, Kind};

/// What an endpoint returns. Refusals are answers, since they carry headers.
pub(crate) type Outcome = std::result::Result<Response<Body>, HttpError>;

/// The data of the event that ends a stream of the OpenAI API.
const DONE: &str = "[DONE]";

/// Sends a result, or the refusal that stands for its error.
pub(crate) fn of(result: crate::error::Result<Response<Body>>) -> Outcome {
    Ok(result.unwrap_or_else(|error| refusal(&error)))
}

/// The refusal that the error table gives for `error`.
pub(crate) fn refusal(error: &Error) -> Response<Body> {
    let mut response = json(error.kind.row().status, &error.body());
    if let Some(seconds) = error.retry_after_seconds() {
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// An answer with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    build(status, "application/json", Body::from(bytes))
}

/// An answer that streams server-sent events as they come.
pub(crate) fn events(events: impl Stream<Item = Bytes> + Send + Sync + 'static) -> Response<Body> {
    let frames = events.map(|event| Ok::<_, Infallible>(Frame::data(event)));
    let mut response =
        build(StatusCode::OK, "text/event-stream", Body::wrap(StreamBody::new(frames)));
    response.headers_mut().insert(CACHE_CONTROL, http::HeaderValue::from_static("no-cache"));
    response
}

/// One server-sent event with JSON data.
pub(crate) fn event(data: &impl Serialize) -> Bytes {
    let data = serde_json::to_string(data).unwrap_or_default();
    Bytes::from(format!("data: {data}\n\n"))
}

/// The event that ends a stream.
pub(crate) fn done() -> Bytes {
    Bytes::from(format!("data: {DONE}\n\n"))
}

/// Turns what the library refuses before an endpoint runs into one of our kinds.
pub(crate) fn library_error(error: &HttpError) -> Error {
    let kind = match error.status_code.as_u16() {
        404 | 405 => Kind::NotFound,
        413 => Kind::TooLarge,
        code if code < 500 => Kind::BadRequest,
        _ => Kind::Internal,
    };
    Error::new(kind, error.external_message.clone())
}

fn build(status: StatusCode, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    response
}
