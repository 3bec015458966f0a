//! Sends requests through forwarders.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::sync::Semaphore;

use crate::{
    access::Guard,
    balance::Pick,
    collector::DataCentreDigest,
    exchange::Context,
    id::Upstream,
    parts::Prompt,
    tenure::{Claim, Tenure},
    time::{Clock, Millis},
    upstream::{
        self, Answer, Codec, Delivery, Failure, FailureKind, Forwarded, Head, Options, Pool,
        Request,
    },
};

use super::{
    Choice, Outcome, State,
    message::{
        self, CLAIM, LEAVING, OUTCOME, PROBE, REQUEST, RETRYABLE, TIMEOUT, UNFRAMED, UPSTREAM,
    },
};

/// Maximum number of forwarders that one send tries. Those that can't forward it don't count as
/// attempts, because the request was not sent to an upstream.
const MAX_TRIES: usize = 3;
/// How long to wait for the reply to a probe: twice the forwarder's connect timeout, for the upstream and
/// for the check of the forwarder's own path, and the way there.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Limit of requests of other nodes that this node forwards at the same time.
const MAX_FORWARDED: usize = 256;

/// The forwarders that a node knows, and its own capacity as a forwarder.
pub struct Forwarders {
    state: Mutex<State>,
    /// Connections to forwarders.
    pool: Arc<Pool>,
    pub(super) capacity: Arc<Semaphore>,
}

impl Default for Forwarders {
    fn default() -> Forwarders {
        Forwarders {
            state: Mutex::default(),
            pool: Arc::new(Pool::resetting(upstream::Settings::default())),
            capacity: Arc::new(Semaphore::new(MAX_FORWARDED)),
        }
    }
}

impl Forwarders {
    /// Forwarders whose responses share the memory for collected bodies with those of `pool`.
    pub fn sharing_memory(pool: &Pool) -> Forwarders {
        let own = Pool::resetting(upstream::Settings::default()).sharing_memory(pool);
        Forwarders { pool: Arc::new(own), ..Forwarders::default() }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of nodes that can forward a request now.
    pub(crate) fn count(&self, now: Millis) -> usize {
        self.state().count(now)
    }

    /// Closes expired connections to forwarders.
    pub(crate) fn close_expired(&self) {
        self.pool.close_expired();
    }

    fn choose<'a>(
        &'a self,
        clock: &'a Clock,
        near: &[DataCentreDigest],
        excluded: &BTreeSet<SocketAddr>,
    ) -> Option<Hop<'a>> {
        let now = clock.now();
        let choice = self.state().choose(now, near, excluded, &mut rand::rng())?;
        Some(Hop { forwarders: self, clock, choice, has_response: false })
    }

    /// Records that a forwarder failed. Its idle connections may have failed with it.
    pub(crate) fn record_failure(&self, now: Millis, address: SocketAddr) {
        self.state().avoid(now, address);
        self.pool.close_idle(&forwarder_name(address));
    }
}

/// A request at a forwarder, counted as waiting there until it is dropped.
struct Hop<'a> {
    forwarders: &'a Forwarders,
    clock: &'a Clock,
    choice: Choice,
    has_response: bool,
}

impl Hop<'_> {
    /// The name under which the pool keeps the connections to the forwarder.
    fn name(&self) -> Upstream {
        forwarder_name(self.choice.address)
    }
}

fn forwarder_name(address: SocketAddr) -> Upstream {
    Upstream(address.to_string())
}

impl Drop for Hop<'_> {
    fn drop(&mut self) {
        self.forwarders.state().finish(self.clock.now(), self.choice, self.has_response);
    }
}

/// Adds the headers of this protocol to requests, and reads those of responses.
struct HopCodec<'a> {
    access: &'a Guard,
    inner: &'a dyn Codec,
    upstream: &'a Upstream,
    is_retryable: bool,
    /// Whether the request only asks if the forwarder reaches the upstream.
    is_probe: bool,
    /// Why the forwarder has no response of the upstream.
    outcome: OnceLock<Outcome>,
    is_unframed: AtomicBool,
}

impl Codec for HopCodec<'_> {
    fn encode(&self, request: &Request, options: Options<'_>) -> HeaderMap {
        let options = Options { upstream: self.upstream, ..options };
        let mut headers = self.inner.encode(request, options);
        message::strip(&mut headers);
        message::insert(&mut headers, UPSTREAM, &self.upstream.0);
        message::insert(&mut headers, REQUEST, &request.id);
        message::insert(&mut headers, RETRYABLE, &self.is_retryable.to_string());
        if let Some(tenure) = options.tenure {
            let remaining = tenure.remaining().unwrap_or_default();
            let claim = Claim { ownership: tenure.ownership, remaining };
            message::insert(&mut headers, CLAIM, &claim.to_string());
        }
        self.access.sign(&mut headers);
        if self.is_probe {
            message::insert(&mut headers, PROBE, "true");
        }
        if let Some(timeout) = options.deadline {
            message::insert(&mut headers, TIMEOUT, &timeout.as_millis().to_string());
        }
        headers
    }

    fn read_prompt(&self, headers: &HeaderMap) -> Prompt {
        self.inner.read_prompt(headers)
    }

    fn decode(&self, parts: &http::response::Parts) -> Head {
        let outcome = parts.headers.get(OUTCOME).and_then(|value| value.to_str().ok());
        if let Some(outcome) = outcome {
            let outcome = match parts.headers.contains_key(LEAVING) {
                true => Outcome::Leaving,
                false => outcome.parse().unwrap_or(Outcome::Broken),
            };
            let _ = self.outcome.set(outcome);
            // The pool discards the body and keeps the connection.
            return Head { not_run: true, ..Head::default() };
        }
        self.is_unframed.store(parts.headers.contains_key(UNFRAMED), Ordering::Relaxed);
        // The forwarder has checked to which request it belongs.
        Head { is_promise: false, ..self.inner.decode(parts) }
    }
}

/// Sends a request to the upstream of `pick` through a forwarder, once. `on_head` sees the head of the
/// upstream's response.
///
/// # Errors
///
/// Fails like a send of this node itself. A forwarder that doesn't get to send the request is
/// replaced by another one.
pub(crate) async fn send(
    context: &Context,
    request: &Request,
    options: Options<'_>,
    pick: &Pick,
    is_retryable: bool,
    on_head: &(dyn Fn(&Head) + Sync),
) -> upstream::Result<Answer> {
    let started = Instant::now();
    let near = near_data_centres(context, &pick.upstream);
    let forwarders = &context.forwarders;
    let mut tried = BTreeSet::new();
    while tried.len() < MAX_TRIES {
        let Some(mut hop) = forwarders.choose(&context.clock, &near, &tried) else { break };
        let address = hop.choice.address;
        tried.insert(address);
        let left = options.deadline.map(|left| left.saturating_sub(started.elapsed()));
        let forwarder = hop.name();
        let options = Options { upstream: &forwarder, deadline: left, ..options };
        let codec = HopCodec {
            access: &context.access,
            inner: context.codec.as_ref(),
            upstream: &pick.upstream,
            is_retryable,
            is_probe: false,
            outcome: OnceLock::new(),
            is_unframed: AtomicBool::new(false),
        };
        let own_head = |head: &Head| {
            if codec.outcome.get().is_none() {
                on_head(head);
            }
        };
        let sending =
            forwarders.pool.send(&codec, request, options, address, is_retryable, &own_head);
        let result = sending.await;
        hop.has_response = result.is_ok() || codec.outcome.get().is_some();
        let failure = match result {
            Ok(mut answer) => {
                context.count_forwarded("sent", "answered");
                message::strip(&mut answer.parts.headers);
                let is_unframed = codec.is_unframed.load(Ordering::Relaxed);
                answer.body.is_unframed = is_unframed;
                answer.parts.extensions.insert(Forwarded { by: address, is_unframed });
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        let through = |message: &str| format!("through {}: {message}", address);
        match codec.outcome.get() {
            Some(Outcome::Unreachable) => {
                // The forwarder may have lost its own path.
                forwarders.record_failure(context.clock.now(), address);
                context.count_forwarded("sent", "unreachable");
                return Err(Failure::connect(through("the upstream can't be reached")));
            }
            Some(Outcome::Broken) => {
                context.count_forwarded("sent", "broken");
                return Err(Failure::broken(through("the exchange failed")));
            }
            Some(Outcome::Leaving) => {
                on_head(&Head { is_leaving: true, ..Head::default() });
                context.count_forwarded("sent", "leaving");
                return Err(Failure::leaving(through("the upstream is leaving")));
            }
            Some(Outcome::Replaced) => {
                if options.tenure.is_some_and(Tenure::end) {
                    log::warn!(forwarder:% = address, request = request.id.as_str(); "the owner of a partition has been replaced");
                }
                context.count_forwarded("sent", "replaced");
                return Err(Failure::lapsed());
            }
            None if failure.kind == FailureKind::Lapsed => return Err(failure),
            // The forwarder passes what the upstream responds on as it is.
            None if failure.delivery == Delivery::Refused => return Err(failure),
            None if failure.delivery == Delivery::Sent => {
                forwarders.record_failure(context.clock.now(), address);
                context.count_forwarded("sent", "broken");
                return Err(Failure { message: through(&failure.message), ..failure });
            }
            Some(Outcome::Refused | Outcome::Reachable) | None => {
                forwarders.record_failure(context.clock.now(), address);
                context.count_forwarded("sent", "refused");
            }
        }
    }
    Err(Failure::no_path())
}

/// Asks another node whether it reaches `upstream`. `None` if there is no such node or no reply.
pub(crate) async fn ask(context: &Context, upstream: &Upstream) -> Option<Outcome> {
    let near = near_data_centres(context, upstream);
    let mut hop = context.forwarders.choose(&context.clock, &near, &BTreeSet::new())?;
    let address = hop.choice.address;
    let request = Request {
        id: String::new(),
        method: Method::GET,
        target: Uri::from_static("/"),
        host: address.to_string(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        workspace: None,
    };
    let codec = HopCodec {
        access: &context.access,
        inner: &upstream::Passthrough,
        upstream,
        is_retryable: true,
        is_probe: true,
        outcome: OnceLock::new(),
        is_unframed: AtomicBool::new(false),
    };
    let forwarder = hop.name();
    let options =
        Options { upstream: &forwarder, deadline: None, resume_after: None, tenure: None };
    let asking = context.forwarders.pool.send(&codec, &request, options, address, true, &|_| ());
    // The outcome is in the head, which the pool reports as a refusal.
    let _ = tokio::time::timeout(PROBE_TIMEOUT, asking).await;
    hop.has_response = codec.outcome.get().is_some();
    codec.outcome.get().copied()
}

/// The data centres from which the way to the upstream crosses between data centres at most once.
fn near_data_centres(context: &Context, upstream: &Upstream) -> Vec<DataCentreDigest> {
    let own = DataCentreDigest::of(context.balance().data_centre());
    let fleet = context.fleet();
    let entry = fleet.entries().get(upstream);
    let its = entry.map(|entry| DataCentreDigest::of(&entry.data_centre));
    its.into_iter().chain([own]).collect()
}
