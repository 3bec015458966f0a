//! Calls to a node over HTTP/JSON.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header::AUTHORIZATION};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{Failure, Result};

pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// Time that a node may take to answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The listener that a command needs.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The option that names the listener.
    option: &'static str,
    address: Option<SocketAddr>,
    secret: Option<String>,
}

impl Target {
    pub(crate) fn new(
        option: &'static str,
        address: Option<SocketAddr>,
        secret: Option<String>,
    ) -> Target {
        Target { option, address, secret }
    }
}

/// Sends calls to one listener.
pub(crate) struct Client {
    target: Target,
    pool: Pool<HttpConnector, Body>,
}

impl Client {
    pub(crate) fn new(target: Target) -> Client {
        Client { target, pool: Pool::builder(TokioExecutor::new()).build_http() }
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        parse(&self.fetch(path).await?)
    }

    /// The body of an answer as it is.
    pub(crate) async fn fetch(&self, path: &str) -> Result<Bytes> {
        self.send(Method::GET, path, &[], empty()).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &impl Serialize,
    ) -> Result<T> {
        parse(&self.send_json(Method::POST, path, headers, body).await?)
    }

    pub(crate) async fn put<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        parse(&self.send_json(Method::PUT, path, &[], body).await?)
    }

    pub(crate) async fn upload<T: DeserializeOwned>(
        &self,
        path: &str,
        content_type: &str,
        body: Body,
    ) -> Result<T> {
        let headers = [("content-type", content_type)];
        parse(&self.send(Method::POST, path, &headers, body).await?)
    }

    async fn send_json(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &impl Serialize,
    ) -> Result<Bytes> {
        let body = serde_json::to_vec(body)
            .map_err(|error| Failure::Local(format!("can't encode the request: {error}")))?;
        let headers: Vec<(&str, &str)> =
            headers.iter().copied().chain([("content-type", "application/json")]).collect();
        self.send(method, path, &headers, full(body.into())).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Body,
    ) -> Result<Bytes> {
        let option = self.target.option;
        let address = self.target.address.ok_or_else(|| {
            Failure::Usage(format!("name a node with {option} ADDRESS:PORT; see --help"))
        })?;
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if let Some(secret) = &self.target.secret {
            request = request.header(AUTHORIZATION, format!("Bearer {secret}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request =
            request.body(body).map_err(|error| Failure::Usage(format!("bad request: {error}")))?;
        let whole = async {
            let (head, body) = self.pool.request(request).await?.into_parts();
            let body = body.collect().await.map_err(anyhow::Error::from)?.to_bytes();
            anyhow::Ok((head.status, body))
        };
        let answer = tokio::time::timeout(TIMEOUT, whole).await;
        let answer = answer.map_err(|_| unreachable(address, &"no answer in time"))?;
        let (status, body) = answer.map_err(|error| unreachable(address, &root(&error)))?;
        match status.is_success() {
            true => Ok(body),
            false => Err(Failure::of_answer(status.as_u16(), &body)),
        }
    }
}

fn unreachable(address: SocketAddr, reason: &dyn std::fmt::Display) -> Failure {
    Failure::Unreachable(format!("{address} can't be reached: {reason}"))
}

fn root(error: &anyhow::Error) -> String {
    error.root_cause().to_string()
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::Local(format!("the answer can't be read: {error}")))
}

fn empty() -> Body {
    full(Bytes::new())
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}
