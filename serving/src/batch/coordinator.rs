//! Asks the coordinator of a route's quota for room: the owner of the partition for the route's id.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use crate::{
    id::{Job, Route, Upstream},
    upstream::{Options, Passthrough, Pool, Request},
};

use super::{
    directory::{Directory, Place},
    owner::Unavailable,
    quota::Verdict,
};

/// The path of the call between nodes.
pub const PATH: &str = "/quota/reserve";
/// How long the coordinator may take; it answers from memory.
const TIMEOUT: Duration = Duration::from_millis(500);

/// A job that asks for room.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Ask {
    pub(super) job: Job,
    pub(super) route: Route,
    pub(super) tokens: u64,
}

/// Reaches the coordinators of all routes.
#[derive(Clone)]
pub(super) struct Client {
    pub(super) directory: Arc<Directory>,
    pub(super) peers: Arc<Pool>,
}

impl Client {
    /// Asks for room at whichever node keeps the route's quota.
    pub(super) async fn reserve(&self, ask: Ask) -> Result<Verdict, Unavailable> {
        let answer = tokio::time::timeout(TIMEOUT, async {
            match self.directory.place(&ask.route.0) {
                Place::Here(handle) => handle.reserve(ask).await,
                Place::Peer(address) => self.relay(address, &ask).await,
                Place::Unknown => Err(Unavailable::NotAccepted),
            }
        });
        answer.await.unwrap_or(Err(Unavailable::NotAccepted))
    }

    async fn relay(&self, address: SocketAddr, ask: &Ask) -> Result<Verdict, Unavailable> {
        let failed = |error: String| {
            log::warn!(job = ask.job.0.as_str(), coordinator:% = address, error = error.as_str(); "coordinator of a quota does not answer");
            Unavailable::NotAccepted
        };
        let body = postcard::to_stdvec(ask).map_err(|error| failed(error.to_string()))?;
        let request = Request {
            id: ask.job.0.clone(),
            method: Method::POST,
            target: Uri::from_static(PATH),
            host: address.to_string(),
            headers: HeaderMap::new(),
            body: Bytes::from(body),
        };
        let peer = Upstream(address.to_string());
        let send = Options { upstream: &peer, deadline: None, resume_after: None };
        let answer = self.peers.send(&Passthrough, &request, send, address, true).await;
        let answer = answer.map_err(|error| failed(error.to_string()))?;
        if answer.parts.status != StatusCode::OK {
            return Err(failed(answer.parts.status.to_string()));
        }
        let body = answer.body.collect().await.map_err(|error| failed(error.to_string()))?;
        postcard::from_bytes(&body).map_err(|error| failed(error.to_string()))
    }
}

/// Answers another node's call, if this node keeps the route's quota.
pub(super) async fn answer(directory: &Directory, body: &[u8]) -> Option<Vec<u8>> {
    let ask: Ask = match postcard::from_bytes(body) {
        Ok(ask) => ask,
        Err(error) => {
            log::warn!(error:% = error; "call for room in a quota can't be read");
            return None;
        }
    };
    let Place::Here(handle) = directory.place(&ask.route.0) else { return None };
    let verdict = handle.reserve(ask).await.ok()?;
    postcard::to_stdvec(&verdict).ok()
}
