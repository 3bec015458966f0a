//! Codec for servers without protocol headers, such as the log service and other nodes.

use http::{
    HeaderMap, HeaderValue,
    header::{CONNECTION, HOST},
};

use crate::parts::Prompt;

use super::{Codec, Head, Options, Request};

/// Sends the headers of the request unchanged, plus its host, and accepts every response.
pub struct Passthrough;

impl Codec for Passthrough {
    fn encode(&self, request: &Request, _: Options<'_>) -> HeaderMap {
        let mut headers = request.headers.clone();
        match HeaderValue::from_str(&request.host) {
            Ok(host) => drop(headers.insert(HOST, host)),
            Err(error) => log::warn!(error:% = error; "Host header omitted: invalid host"),
        }
        headers
    }

    fn read_prompt(&self, _: &HeaderMap) -> Prompt {
        Prompt::default()
    }

    fn decode(&self, head: &http::response::Parts) -> Head {
        let connection = head.headers.get(CONNECTION).and_then(|value| value.to_str().ok());
        let closes_connection = connection.is_some_and(|value| value.contains("close"));
        Head { is_authentic: true, closes_connection, ..Head::default() }
    }
}
