//! The log service over HTTP/JSON.
//!
//! * `POST /streams/{stream}/records` with the bytes of the record returns `{"offset": n}`.
//! * `GET /streams/{stream}/records?from=n&wait_ms=m` returns
//!   `{"first": n, "head": n, "records": [{"offset": n, "data": "<base64>"}]}`, and 410 with
//!   `{"first": n}` when `from` has expired.
//! * 429 and 503 mean that the operation had no effect.

use std::net::SocketAddr;

use async_trait::async_trait;
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header::RETRY_AFTER};
use http_body_util::Full;
use serde::Deserialize;

use crate::{
    id::{Offset, Stream},
    time::Millis,
    web::{self, Web, url},
};

use super::store::{Append, Error, Page, Result, Store};

/// Timeout of one operation, in addition to the requested wait of a read.
const OPERATION_TIMEOUT: Millis = Millis(3_000);

/// A client of the log service at one address.
pub struct Http {
    address: SocketAddr,
    web: Web,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Records {
    first: Offset,
    head: Offset,
    records: Vec<Line>,
}

#[derive(Deserialize)]
struct Line {
    offset: Offset,
    data: String,
}

#[derive(Deserialize)]
struct Gone {
    first: Offset,
}

impl Http {
    pub fn new(address: SocketAddr) -> Http {
        Http { address, web: Web::default() }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Millis,
    ) -> Result<web::Answer> {
        let request = Request::builder()
            .method(method)
            .uri(url(self.address, path))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| refused(error.to_string()))?;
        let answer = self.web.send(request, timeout).await.map_err(|error| match error {
            web::Error::NotSent(message) => refused(message),
            web::Error::Sent(_) | web::Error::TimedOut(_) => {
                Error::Unknown { message: error.to_string() }
            }
        })?;
        check_status(answer)
    }
}

#[async_trait]
impl Store for Http {
    async fn append(&self, stream: &Stream, data: Vec<u8>) -> Result<Offset> {
        let path = format!("/streams/{stream}/records");
        let answer = self.send(Method::POST, &path, data, OPERATION_TIMEOUT).await?;
        let appended: Appended = parse(&answer.body)?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: &Stream, from: Offset, wait: Millis) -> Result<Page> {
        let path = format!("/streams/{stream}/records?from={from}&wait_ms={}", wait.0);
        let answer = self.send(Method::GET, &path, Vec::new(), wait + OPERATION_TIMEOUT).await?;
        let records: Records = parse(&answer.body)?;
        let appends =
            records.records.into_iter().map(decode_line).collect::<Result<Vec<Append>>>()?;
        Ok(Page { first: records.first, head: records.head, appends })
    }
}

fn decode_line(line: Line) -> Result<Append> {
    let data = STANDARD.decode(&line.data).map_err(|error| unknown(error.to_string()))?;
    Ok(Append { offset: line.offset, data })
}

fn check_status(answer: web::Answer) -> Result<web::Answer> {
    match answer.status {
        StatusCode::OK | StatusCode::CREATED => Ok(answer),
        StatusCode::GONE => {
            let gone: Gone = parse(&answer.body)?;
            Err(Error::Expired { first: gone.first })
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Err(Error::Refused {
            message: format!("status {}", answer.status),
            retry_after: parse_retry_after(&answer),
        }),
        status => Err(unknown(format!("status {status}"))),
    }
}

fn parse_retry_after(answer: &web::Answer) -> Option<Millis> {
    let seconds: u64 = answer.headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Millis(seconds * 1_000))
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| unknown(error.to_string()))
}

fn refused(message: String) -> Error {
    Error::Refused { message, retry_after: None }
}

fn unknown(message: String) -> Error {
    Error::Unknown { message }
}
