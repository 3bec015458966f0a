//! Exchanges without headers of their own, as with the log and other nodes.

use http::{
    HeaderMap, HeaderValue,
    header::{CONNECTION, HOST},
};

use super::{Codec, Head, Request, Send};

/// Sends the request's own headers and its host; takes every answer.
pub struct PlainCodec;

impl Codec for PlainCodec {
    fn encode(&self, request: &Request, _: Send<'_>) -> HeaderMap {
        let mut headers = request.headers.clone();
        match HeaderValue::from_str(&request.host) {
            Ok(host) => drop(headers.insert(HOST, host)),
            Err(error) => log::warn!(error:% = error; "host left out"),
        }
        headers
    }

    fn decode(&self, head: &http::response::Parts) -> Head {
        let connection = head.headers.get(CONNECTION).and_then(|value| value.to_str().ok());
        let closes = connection.is_some_and(|value| value.contains("close"));
        Head { sealed: true, closes, ..Head::default() }
    }
}
