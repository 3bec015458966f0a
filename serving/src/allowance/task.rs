//! Asks owners for allowance, answers asks, and wakes the requests that wait.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use crate::{
    access::Member,
    balance::Load,
    catalog,
    id::{Service, Workspace},
    metrics::Metrics,
    time::{Clock, Millis},
};

use super::{
    Action, Datagram, Decision, Lender, Permit, Settings, Source, State, Taken, Ticket,
    share::{self, Claim},
    state::Reason,
};

/// Limit of datagrams that wait to be sent. A request whose ask is dropped counts as unanswered.
const MAX_OUTGOING: usize = 1_024;
/// How long a request waits until an owner is known. With the time in which it is answered this
/// stays below usual latency objectives.
const OWNER_WAIT: Millis = Millis(180);
/// Interval at which such a request looks for the owner again.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 1 << 10;
/// Interval at which the configuration and the known nodes are applied.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Finds the node that lends the allowance of a workspace at a time of `CLOCK_BOOTTIME`.
type Locate = Box<dyn Fn(&Workspace, Millis) -> Lender + Send + Sync>;

/// The state, and the requests that wait for its decisions.
struct Inner {
    state: State,
    shares: share::State,
    waiters: BTreeMap<Ticket, oneshot::Sender<Decision>>,
}

/// Admits requests of workspaces within their limits. All times are those of `CLOCK_BOOTTIME`, so
/// that a node that was suspended doesn't use old grants.
pub struct Allowance {
    clock: Clock,
    metrics: Arc<Metrics>,
    locate: Locate,
    inner: Mutex<Inner>,
    outgoing_tx: mpsc::Sender<(SocketAddr, Datagram)>,
    outgoing_rx: Mutex<Option<mpsc::Receiver<(SocketAddr, Datagram)>>>,
}

impl Allowance {
    /// Other nodes reach this one at `address`. `locate` finds the lender of a workspace.
    pub fn new(
        settings: Settings,
        clock: Clock,
        metrics: Arc<Metrics>,
        address: SocketAddr,
        seed: u64,
        locate: impl Fn(&Workspace, Millis) -> Lender + Send + Sync + 'static,
    ) -> Allowance {
        let (outgoing_tx, outgoing_rx) = mpsc::channel(MAX_OUTGOING);
        let state = State::new(settings, clock.boot_time(), address, seed);
        let shares = share::State::new(seed);
        Allowance {
            clock,
            metrics,
            locate: Box::new(locate),
            inner: Mutex::new(Inner { state, shares, waiters: BTreeMap::new() }),
            outgoing_tx,
            outgoing_rx: Mutex::new(Some(outgoing_rx)),
        }
    }

    /// Decides on one request of a client. Waits for the owner of the workspace's limit for a short
    /// time if this node holds no grant, also while none is known, because a partition that changes
    /// hands soon has an owner again.
    pub async fn take(&self, member: &Member) -> Decision {
        let started_at = self.clock.boot_time();
        loop {
            let decision = self.take_once(member).await;
            let is_over = self.clock.boot_time() - started_at >= OWNER_WAIT;
            if is_over || !matches!(decision, Decision::Limited { reason: Reason::NoOwner, .. }) {
                self.metrics.count(&self.metrics.allowance, "request", outcome(&decision));
                return decision;
            }
            tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
        }
    }

    async fn take_once(&self, member: &Member) -> Decision {
        let now = self.clock.boot_time();
        let lender = (self.locate)(&member.workspace, now);
        let waiter = {
            let mut inner = self.inner();
            let (taken, actions) = inner.state.take(now, member, lender);
            let waiter = match taken {
                Taken::Decided(decision) => Err(decision),
                Taken::Waiting(ticket) => {
                    let (decision_tx, decision_rx) = oneshot::channel();
                    inner.waiters.insert(ticket, decision_tx);
                    Ok(decision_rx)
                }
            };
            self.execute(&mut inner, now, actions);
            waiter
        };
        match waiter {
            Err(decision) => decision,
            // The sender is dropped only when the process ends.
            Ok(waiter) => waiter.await.unwrap_or(Decision::Limited {
                retry_after: Millis(1_000),
                reason: Reason::NoOwner,
            }),
        }
    }

    /// Whether a request for `service` may be sent although its upstreams may be short. `occupancy`
    /// returns the requests in flight there and the slots.
    pub fn has_share(
        &self,
        member: &Member,
        service: &Service,
        route_priority: u32,
        occupancy: impl FnOnce() -> (Load, u32),
    ) -> bool {
        let now = self.clock.boot_time();
        let needs_occupancy = self.inner().shares.needs_occupancy(now, service);
        // The lock is not held while another one is taken.
        let observed = needs_occupancy.then(occupancy);
        let mut inner = self.inner();
        if let Some((load, slots)) = observed {
            inner.shares.observe(now, service, load, slots);
        }
        let usage = inner.state.usage(&member.workspace);
        let claim = Claim { usage, workspace_priority: member.priority, route_priority };
        let is_admitted = inner.shares.admit(now, service, claim);
        drop(inner);
        if !is_admitted {
            self.metrics.count(&self.metrics.allowance, "request", "share");
        }
        is_admitted
    }

    /// Returns the permit of a request that was not sent.
    pub fn restore(&self, permit: Permit) {
        self.inner().state.restore(self.clock.boot_time(), permit);
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn execute(&self, inner: &mut Inner, now: Millis, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => {
                    if self.outgoing_tx.try_send((to, datagram)).is_err() {
                        log::debug!(peer:% = to; "too many datagrams wait; an ask for allowance was dropped");
                    }
                }
                Action::Decide { ticket, decision } => {
                    let Some(waiter) = inner.waiters.remove(&ticket) else { continue };
                    // The caller may have closed its connection.
                    if let Err(Decision::Admitted(permit)) = waiter.send(decision) {
                        inner.state.restore(now, permit);
                    }
                }
            }
        }
    }

    /// Handles a datagram. Returns the one to reply with.
    fn handle(&self, datagram: Datagram, sender: SocketAddr) -> Option<Datagram> {
        let now = self.clock.boot_time();
        match datagram {
            Datagram::Ask(ask) => {
                let lender = (self.locate)(&ask.workspace, now);
                let answer = self.inner().state.answer(now, sender, &ask, lender);
                Some(Datagram::Answer(answer))
            }
            Datagram::Answer(answer) => {
                let mut inner = self.inner();
                let actions = inner.state.apply(now, &answer);
                self.execute(&mut inner, now, actions);
                None
            }
        }
    }

    /// Applies what is due, and returns the time until something is due again.
    fn tick(&self) -> Option<Duration> {
        let now = self.clock.boot_time();
        let mut inner = self.inner();
        let actions = inner.state.tick(now);
        self.execute(&mut inner, now, actions);
        inner.state.due_at().map(|at| (at - now).duration())
    }
}

/// Asks and answers until the process exits. `peers` returns the addresses at which the other nodes
/// are asked.
pub async fn run(
    allowance: Arc<Allowance>,
    socket: UdpSocket,
    catalog: catalog::Handle,
    peers: impl Fn() -> Vec<SocketAddr> + Send,
) {
    let receiver = allowance.outgoing_rx.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut outgoing_rx) = receiver else { return };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut version = None;
    let mut refresh_at = Instant::now();
    loop {
        if Instant::now() >= refresh_at {
            refresh_at = Instant::now() + REFRESH_INTERVAL;
            refresh(&allowance, &catalog, &mut version, peers());
        }
        let due = allowance.tick().map(|due| Instant::now() + due.max(Duration::from_millis(1)));
        let wake_at = due.map_or(refresh_at, |due| due.min(refresh_at));
        tokio::select! {
            Some((peer, datagram)) = outgoing_rx.recv() => send(&socket, &datagram, peer).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => match Datagram::decode(&buffer[..length]) {
                    Ok(datagram) => {
                        if let Some(reply) = allowance.handle(datagram, sender) {
                            send(&socket, &reply, sender).await;
                        }
                    }
                    Err(error) => log::warn!(error:% = error, bytes = length; "failed to decode a datagram about allowance"),
                },
                Err(error) => log::debug!(error:% = error; "failed to receive a datagram about allowance"),
            },
            () = sleep_until(wake_at) => {}
        }
    }
}

/// Applies the limits of a new configuration and the known nodes.
fn refresh(
    allowance: &Allowance,
    catalog: &catalog::Handle,
    version: &mut Option<u64>,
    peers: Vec<SocketAddr>,
) {
    let now = allowance.clock.boot_time();
    let mut inner = allowance.inner();
    inner.state.set_peers(now, peers.into_iter());
    inner.state.clean_up(now);
    inner.shares.clean_up(now);
    let Some(catalog) = catalog.current() else { return };
    if version.replace(catalog.version) != Some(catalog.version) {
        let members = catalog.workspaces.as_ref().map(|directory| directory.members());
        inner.state.set_limits(members.into_iter().flatten());
    }
}

/// The label of a decision in the metrics.
fn outcome(decision: &Decision) -> &'static str {
    match decision {
        Decision::Admitted(permit) => match permit.source {
            Source::Grant => "grant",
            Source::Owner => "owner",
            Source::Reserve => "reserve",
        },
        Decision::Limited { reason: Reason::Limit, .. } => "limited",
        Decision::Limited { reason: Reason::NoOwner, .. } => "no owner",
    }
}

async fn send(socket: &UdpSocket, datagram: &Datagram, address: SocketAddr) {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "failed to encode a datagram about allowance");
            return;
        }
    };
    if let Err(error) = socket.send_to(&bytes, address).await {
        log::debug!(peer:% = address, error:% = error; "failed to send a datagram about allowance");
    }
}
