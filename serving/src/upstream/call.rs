//! One send of a request to one upstream.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::{
    Codec, Head, Request, Result, Send,
    pool::{Connection, Pool},
};

/// The longest answer that is held as a whole. Greater ones count as broken.
const WHOLE_BODY_BYTES: usize = 16 << 20;

/// How far a send got before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// No byte was sent.
    Nothing,
    /// The upstream may have run the request.
    Sent,
    /// The upstream says that it did not run the request.
    Refused,
}

/// Why a send gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    Connect,
    /// The upstream has no room.
    Full,
    /// Another upstream has the address.
    Misdirected,
    /// Nothing came for too long.
    Silent,
    /// The connection ended, or bytes came that are no answer to the request.
    Broken,
}

/// A send that gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    pub kind: FailureKind,
    pub reached: Reached,
    pub message: String,
}

impl Failure {
    /// No connection could be made.
    fn connect(message: String) -> Failure {
        Failure { kind: FailureKind::Connect, reached: Reached::Nothing, message }
    }

    /// The upstream says that it did not run the request.
    fn refused(kind: FailureKind, message: &str) -> Failure {
        Failure { kind, reached: Reached::Refused, message: message.to_string() }
    }

    /// The connection ended, or what came is no answer to the request.
    pub(crate) fn broken(message: impl Into<String>) -> Failure {
        Failure { kind: FailureKind::Broken, reached: Reached::Sent, message: message.into() }
    }

    /// Nothing came for too long after the request was sent.
    pub(crate) fn silent() -> Failure {
        let message = "the upstream has been silent for too long".to_string();
        Failure { kind: FailureKind::Silent, reached: Reached::Sent, message }
    }
}

/// The head of an answer, with its body still to come.
pub struct Answer {
    pub parts: http::response::Parts,
    pub head: Head,
    pub body: Body,
}

/// The body of an answer. Dropping it before its end closes the connection.
pub struct Body {
    incoming: Incoming,
    pool: Arc<Pool>,
    upstream: crate::id::Upstream,
    address: SocketAddr,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    closes: bool,
}

impl Pool {
    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        self: &Arc<Pool>,
        codec: &dyn Codec,
        request: &Request,
        send: Send<'_>,
        address: SocketAddr,
        repeatable: bool,
    ) -> Result<Answer> {
        let mut connection =
            self.checkout(send.upstream, address, repeatable).await.map_err(Failure::connect)?;
        let response = match exchange(&mut connection, codec, request, send).await {
            // The kept connection was closed before a byte was sent: a new one is as good.
            Err(failure) if failure.reached == Reached::Nothing && connection.reused => {
                connection =
                    self.checkout(send.upstream, address, false).await.map_err(Failure::connect)?;
                exchange(&mut connection, codec, request, send).await?
            }
            result => result?,
        };
        let (parts, incoming) = response.into_parts();
        let head = codec.decode(&parts);
        if head.request.as_ref().is_some_and(|id| *id != request.id) {
            return Err(Failure::broken("the answer belongs to another request"));
        }
        if head.misdirected {
            return Err(Failure::refused(
                FailureKind::Misdirected,
                "another upstream has the address",
            ));
        }
        let body = Body {
            incoming,
            pool: Arc::clone(self),
            upstream: send.upstream.clone(),
            address,
            connection: Some(connection),
            keep_alive: head.keep_alive.map(|span| span.duration()),
            closes: head.closes,
        };
        if head.not_run {
            // The connection is kept: a refusal under load must not cost a new one.
            let _ = body.whole().await;
            return Err(Failure::refused(FailureKind::Full, "the upstream has no room"));
        }
        if parts.status.is_success() && !head.sealed {
            return Err(Failure::broken("the answer isn't sealed"));
        }
        Ok(Answer { parts, head, body })
    }
}

impl Body {
    /// The next bytes; `None` at the end of a complete body.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    // Trailers hold nothing that is passed on.
                    Err(_) => {}
                },
                Some(Err(error)) => {
                    return Err(Failure::broken(format!("the answer broke off: {error}")));
                }
                None => {
                    self.finish();
                    return Ok(None);
                }
            }
        }
    }

    /// The whole body.
    pub async fn whole(mut self) -> Result<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            whole.extend_from_slice(&bytes);
            if whole.len() > WHOLE_BODY_BYTES {
                return Err(Failure::broken("the answer is too long"));
            }
        }
        Ok(whole.freeze())
    }

    fn finish(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if !self.closes {
            self.pool.checkin(&self.upstream, self.address, connection, self.keep_alive);
        }
    }
}

async fn exchange(
    connection: &mut Connection,
    codec: &dyn Codec,
    request: &Request,
    send: Send<'_>,
) -> Result<http::Response<Incoming>> {
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    *message.headers_mut() = codec.encode(request, send);
    let sending = connection.sender.try_send_request(message);
    sending.await.map_err(|mut error| {
        let reached = match error.take_message() {
            Some(_) => Reached::Nothing,
            None => Reached::Sent,
        };
        let message = format!("the exchange failed: {}", error.into_error());
        Failure { kind: FailureKind::Broken, reached, message }
    })
}
