//! The HTTP client of callers, operators and checks.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, anyhow, ensure};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use serde_json::Value;

pub type Result<T> = anyhow::Result<T>;

/// Time that a call may take when none is named.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An answer read to its end.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }

    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).with_context(|| format!("not JSON: {}", self.text()))
    }

    /// The answer itself where it is a success.
    pub fn success(self) -> Result<Answer> {
        ensure!(self.status.is_success(), "status {}: {}", self.status, self.text());
        Ok(self)
    }
}

/// What a call sends.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

impl Call {
    pub fn new(method: Method, path: &str) -> Call {
        Call { method, path: path.to_string(), ..Call::default() }
    }

    pub fn get(path: &str) -> Call {
        Call::new(Method::GET, path)
    }

    pub fn header(mut self, name: &str, value: &str) -> Call {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    pub fn bearer(self, token: &str) -> Call {
        self.header(header::AUTHORIZATION.as_str(), &format!("Bearer {token}"))
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> Call {
        self.body = body.into();
        self
    }

    pub fn json(self, body: &Value) -> Call {
        self.header(header::CONTENT_TYPE.as_str(), "application/json").body(body.to_string())
    }
}

/// A pool of connections. Cheap to clone.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client { pool: Pool::builder(TokioExecutor::new()).build(connector) }
    }
}

impl Client {
    /// Sends a call and returns once the head of the answer has arrived.
    pub async fn open(&self, address: SocketAddr, call: Call) -> Result<Response<Incoming>> {
        let mut request =
            Request::builder().method(call.method).uri(format!("http://{address}{}", call.path));
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        Ok(self.pool.request(request.body(Full::new(call.body))?).await?)
    }

    /// Sends a call and reads the whole answer.
    pub async fn send(&self, address: SocketAddr, call: Call) -> Result<Answer> {
        let what = format!("{} {address}{}", call.method, call.path);
        let whole = async {
            let (head, body) = self.open(address, call).await?.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<Answer, anyhow::Error>(Answer { status: head.status, headers: head.headers, body })
        };
        let answer = tokio::time::timeout(TIMEOUT, whole).await;
        answer.map_err(|_| anyhow!("no answer in {TIMEOUT:?}")).flatten().context(what)
    }
}
