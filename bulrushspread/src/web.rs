//! The HTTP client shared by the edges towards the platform and the upstreams.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::time::Millis;

pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Connections that a pool keeps open to one host while they are idle.
const IDLE_CONNECTIONS_PER_HOST: usize = 64;
/// Time that a connection attempt may take.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Maximum size of the body of an answer; a page of the log may hold many records.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// How far a request got before it failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// No byte of the request left this process.
    #[error("can't connect: {0}")]
    NotSent(String),
    /// Bytes left this process and the connection broke; the server may have acted on them.
    #[error("no answer: {0}")]
    Sent(String),
    /// Bytes left this process and no answer came in time; the server may still act on them.
    #[error("no answer: timed out after {0}")]
    TimedOut(Millis),
}

/// An answer read to its end.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

/// A pool of HTTP/1.1 connections.
#[derive(Clone)]
pub(crate) struct Web {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Web {
    fn default() -> Web {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.duration()));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS_PER_HOST)
            .build(connector);
        Web { client }
    }
}

impl Web {
    /// Sends the request and returns the answer as soon as its head has arrived.
    pub(crate) async fn open(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Millis,
    ) -> Result<Response<Incoming>> {
        let answer = tokio::time::timeout(timeout.duration(), self.client.request(request)).await;
        match answer {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(Error::NotSent(error.to_string())),
            Ok(Err(error)) => Err(Error::Sent(error.to_string())),
            Err(_) => Err(Error::TimedOut(timeout)),
        }
    }

    /// Sends the request and reads the whole answer. Fails if its body exceeds 64 MiB.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Millis,
    ) -> Result<Answer> {
        let whole = async {
            let response = self.open(request, timeout).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| Error::Sent(error.to_string()))?;
            Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
        };
        match tokio::time::timeout(timeout.duration(), whole).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::TimedOut(timeout)),
        }
    }
}

/// The URL of `path` (with its leading slash) at `address`.
pub(crate) fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}
