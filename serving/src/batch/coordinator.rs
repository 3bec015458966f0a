//! Reservations in the quota of a route, requested from its coordinator: the owner of the
//! partition for the route's id.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use crate::{
    exchange::Context,
    id::{Job, Route, Upstream},
    upstream::{Options, Passthrough, Pool, Request},
};

use super::{
    directory::{Directory, Location},
    owner::Unavailable,
    quota::Decision,
};

/// Path of the reservation request between nodes.
pub const PATH: &str = "/quota/reserve";
/// How long the coordinator may take to answer. It decides without I/O.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Request for the tokens of a job in the quota of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Reservation {
    pub(super) job: Job,
    pub(super) route: Route,
    pub(super) tokens: u64,
}

/// Sends reservation requests to the coordinators of all routes.
#[derive(Clone)]
pub(super) struct Client {
    pub(super) context: Arc<Context>,
    pub(super) directory: Arc<Directory>,
    pub(super) peers: Arc<Pool>,
}

impl Client {
    /// Requests a reservation from the coordinator of the route, at this node or another one.
    ///
    /// # Errors
    ///
    /// Fails if no coordinator is known or the coordinator doesn't decide in time.
    pub(super) async fn reserve(&self, reservation: Reservation) -> Result<Decision, Unavailable> {
        let answer = tokio::time::timeout(TIMEOUT, async {
            match self.directory.locate(&reservation.route.0) {
                Location::Here(handle) => handle.reserve(reservation).await,
                Location::Peer(address) => self.relay(address, &reservation).await,
                Location::Unknown => Err(Unavailable::NotAccepted),
            }
        });
        answer.await.unwrap_or(Err(Unavailable::NotAccepted))
    }

    /// Sends the request to the coordinator at `address`.
    async fn relay(
        &self,
        address: SocketAddr,
        reservation: &Reservation,
    ) -> Result<Decision, Unavailable> {
        let fail = |error: String| {
            log::warn!(job = reservation.job.0.as_str(), coordinator:% = address, error = error.as_str(); "could not reserve quota at the coordinator");
            Unavailable::NotAccepted
        };
        let body = postcard::to_stdvec(reservation).map_err(|error| fail(error.to_string()))?;
        let mut headers = HeaderMap::new();
        self.context.access.sign(&mut headers);
        let request = Request {
            id: reservation.job.0.clone(),
            method: Method::POST,
            target: Uri::from_static(PATH),
            host: address.to_string(),
            headers,
            body: Bytes::from(body),
            workspace: None,
        };
        let peer = Upstream(address.to_string());
        let options = Options { upstream: &peer, deadline: None, resume_after: None, tenure: None };
        let answer = self.peers.send(&Passthrough, &request, options, address, true, &|_| ()).await;
        let answer = answer.map_err(|error| fail(error.to_string()))?;
        if answer.parts.status != StatusCode::OK {
            return Err(fail(answer.parts.status.to_string()));
        }
        let body = answer.body.collect().await.map_err(|error| fail(error.to_string()))?;
        postcard::from_bytes(&body).map_err(|error| fail(error.to_string()))
    }
}

/// Answers another node's reservation request. `None` if the request is invalid or this node
/// doesn't coordinate the route's quota.
pub(super) async fn handle_reserve(directory: &Directory, body: &[u8]) -> Option<Vec<u8>> {
    let reservation: Reservation = match postcard::from_bytes(body) {
        Ok(reservation) => reservation,
        Err(error) => {
            log::warn!(error:% = error; "could not decode a reservation request");
            return None;
        }
    };
    let Location::Here(handle) = directory.locate(&reservation.route.0) else { return None };
    let decision = handle.reserve(reservation).await.ok()?;
    postcard::to_stdvec(&decision).ok()
}
