//! Asks other nodes for the origins of streams, replies to their questions, and withdraws origins.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use crate::{
    catalog::Catalog,
    fleet::{self, Reads, Software},
    id::{Service, Version},
    time::{Clock, Millis},
};

use super::{Datagram, Digest, Lifetimes, State, Withdrawal};

/// How long a resume waits for the replies of other nodes.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a resume waits for a read of the registry. A slow log answers within 250 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a resume waits for a read of the registry before it asks other nodes, if the service has
/// a single version as far as this node knows. A read takes a few milliseconds, at most every 30 ms.
const READ_HEAD_START: Duration = Duration::from_millis(60);
/// Delay after which a question is sent again, because datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(30);
/// Limit of calls that wait to be sent; a call beyond it counts as unanswered.
const MAX_CALLS: usize = 256;
/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 1 << 10;

/// A question of this node with the channel for its answer.
struct Question {
    request: Digest,
    service: Service,
    /// Time for which a stream can be resumed.
    lifetime: Millis,
    answer_tx: oneshot::Sender<Answer>,
}

/// What other nodes know about the origin of a stream.
#[derive(Clone, Debug)]
enum Answer {
    Known(Software),
    /// Nobody knows the origin.
    Claims(Vec<Claim>),
}

/// The only version that a service has had, as another node has seen it.
#[derive(Clone, Debug)]
struct Claim {
    version: Version,
    /// How far back the end of the time lies that the claim covers.
    age: Millis,
}

/// Something for the task to send.
enum Call {
    Ask(Question),
    /// Withdraw the origin of a request of this node. Answered when all holders have confirmed.
    Withdraw(Digest, oneshot::Sender<()>),
}

/// The origins that this node knows or can ask for.
pub struct Origins {
    clock: Clock,
    fleet: Arc<Mutex<fleet::State>>,
    state: Mutex<State>,
    lifetimes: Mutex<Lifetimes>,
    /// Reads of the registry that resumes wait for.
    pub reads: Reads,
    call_tx: mpsc::Sender<Call>,
    call_rx: Mutex<Option<mpsc::Receiver<Call>>>,
}

impl Origins {
    pub fn new(clock: Clock, fleet: Arc<Mutex<fleet::State>>) -> Origins {
        let (call_tx, call_rx) = mpsc::channel(MAX_CALLS);
        let call_rx = Mutex::new(Some(call_rx));
        Origins {
            clock,
            fleet,
            state: Mutex::default(),
            lifetimes: Mutex::default(),
            reads: Reads::default(),
            call_tx,
            call_rx,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the timeouts of a new configuration.
    pub fn update_lifetimes(&self, catalog: &Catalog) {
        let mut lifetimes = self.lifetimes.lock().unwrap_or_else(PoisonError::into_inner);
        lifetimes.update(self.clock.boot_time(), catalog);
    }

    fn lifetime(&self, service: &Service) -> Millis {
        let lifetimes = self.lifetimes.lock().unwrap_or_else(PoisonError::into_inner);
        lifetimes.get(self.clock.boot_time(), service)
    }

    /// The software that may resume a stream of `service`, which `request` began; `None` if no node
    /// knows it. That the service has had a single version counts only after a read of the registry
    /// that is sent after this call, because a new upstream may have begun the stream.
    pub async fn find(&self, request: Digest, service: Option<&Service>) -> Option<Software> {
        if let Some(origin) = self.state().find(self.clock.now(), request) {
            return Some(origin.software);
        }
        let asked_at = self.clock.boot_time();
        let service = service.cloned();
        let lifetime = service.as_ref().map(|service| self.lifetime(service)).unwrap_or_default();
        // Usually the read settles the matter, and no datagram is sent.
        let is_single = service.as_ref().is_some_and(|service| {
            self.fleet().only_version(asked_at, service, lifetime).is_some()
        });
        let head_start = if is_single { READ_HEAD_START } else { Duration::ZERO };
        let asked_service = service.clone().unwrap_or_default();
        let mut answer = pin!(async move {
            tokio::time::sleep(head_start).await;
            self.ask(request, asked_service, lifetime).await
        });
        let mut read = pin!(tokio::time::timeout(READ_TIMEOUT, self.reads.wait(asked_at)));
        let (mut claims, mut is_confirmed) = (None, service.is_none().then_some(false));
        while claims.is_none() || is_confirmed.is_none() {
            tokio::select! {
                answer = &mut answer, if claims.is_none() => match answer {
                    Answer::Known(software) => return Some(software),
                    Answer::Claims(unproved) => claims = Some(unproved),
                },
                result = &mut read, if is_confirmed.is_none() => {
                    is_confirmed = Some(result.is_ok());
                    let proved = service.as_ref().filter(|_| result.is_ok()).and_then(|service| {
                        self.fleet().only_version(self.clock.boot_time(), service, lifetime)
                    });
                    if let Some(version) = proved {
                        return Some(Software { service: service?, version });
                    }
                },
            }
        }
        if !is_confirmed? {
            return None;
        }
        let service = service?;
        let proved = claims?.into_iter().find(|claim| self.is_proved(claim, asked_at, &service))?;
        Some(Software { service, version: proved.version })
    }

    /// Asks the other nodes.
    async fn ask(&self, request: Digest, service: Service, lifetime: Millis) -> Answer {
        let (answer_tx, answer) = oneshot::channel();
        let question = Question { request, service, lifetime, answer_tx };
        if self.call_tx.try_send(Call::Ask(question)).is_err() {
            log::warn!(
                "too many questions for the origins of streams; a resume isn't sent to other nodes"
            );
            return Answer::Claims(Vec::new());
        }
        match tokio::time::timeout(REPLY_TIMEOUT * 2, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Answer::Claims(Vec::new()),
        }
    }

    /// Whether this node's own view, which must be confirmed, covers the time since the end of what
    /// the claim covers, and has the same version.
    fn is_proved(&self, claim: &Claim, asked_at: Millis, service: &Service) -> bool {
        let now = self.clock.boot_time();
        // One more millisecond, so that changes at the very end of the claim are covered.
        let since_claim = now - (asked_at - claim.age) + Millis(1);
        self.fleet().only_version(now, service, since_claim).as_ref() == Some(&claim.version)
    }

    /// Withdraws the proposed software of a request of this node. Returns whether no other node
    /// holds it any more, so that the request may move to another version.
    pub async fn withdraw(&self, request: Digest) -> bool {
        let (answer_tx, answer) = oneshot::channel();
        let holders = self.state().withdraw(self.clock.now(), request);
        let is_asked = holders.is_some_and(|withdrawal| !withdrawal.holders.is_empty())
            && self.call_tx.try_send(Call::Withdraw(request, answer_tx)).is_ok();
        if is_asked {
            // The state says whether the answer came in time.
            let _ = tokio::time::timeout(REPLY_TIMEOUT, answer).await;
        }
        self.state().is_withdrawn(request)
    }

    fn reply(&self, request: Digest, service: &Service, lifetime: Millis) -> Datagram {
        let now = self.clock.now();
        let state = self.state();
        if let Some(origin) = state.find(now, request) {
            return Datagram::Known { request, origin, remaining: state.remaining(now, request) };
        }
        drop(state);
        let lifetime = lifetime.max(self.lifetime(service));
        let (fleet, now) = (self.fleet(), self.clock.boot_time());
        let only_version = fleet.only_version(now, service, lifetime);
        let age = fleet.confirmed_at().map(|at| now - at);
        Datagram::Unknown { request, only_version, age }
    }

    fn fleet(&self) -> MutexGuard<'_, fleet::State> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A question that other nodes have been asked.
struct Asked {
    question: Question,
    /// Nodes that have not replied yet.
    missing: Vec<SocketAddr>,
    claims: Vec<Claim>,
    repeat_at: Option<Instant>,
    expires_at: Instant,
}

/// A withdrawal that other nodes have been sent.
struct Withdrawing {
    repeat_at: Option<Instant>,
    expires_at: Instant,
    answer_tx: oneshot::Sender<()>,
}

/// Asks and replies until the process exits. `peers` returns the gossip addresses of the other
/// nodes, and `question_address` the one at which the node with a gossip address receives questions.
pub async fn run(
    origins: Arc<Origins>,
    socket: UdpSocket,
    question_address: fn(SocketAddr) -> SocketAddr,
    peers: impl Fn() -> Vec<SocketAddr> + Send,
) {
    let receiver = origins.call_rx.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut call_rx) = receiver else { return };
    let mut asked: BTreeMap<Digest, Vec<Asked>> = BTreeMap::new();
    let mut withdrawing: BTreeMap<Digest, Withdrawing> = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let asked_at = asked.values().flatten().map(|asked| (asked.repeat_at, asked.expires_at));
        let withdrawing_at = withdrawing.values().map(|sent| (sent.repeat_at, sent.expires_at));
        let wake_at =
            asked_at.chain(withdrawing_at).map(|(repeat, expiry)| repeat.unwrap_or(expiry));
        let wake_at = wake_at.min().unwrap_or_else(|| Instant::now() + REPLY_TIMEOUT);
        tokio::select! {
            Some(call) = call_rx.recv() => {
                let now = Instant::now();
                let question = match call {
                    Call::Ask(question) => question,
                    Call::Withdraw(request, answer_tx) => {
                        send_withdrawal(&origins, &socket, request, question_address).await;
                        let repeat_at = Some(now + REPEAT_DELAY);
                        let expires_at = now + REPLY_TIMEOUT;
                        withdrawing.insert(request, Withdrawing { repeat_at, expires_at, answer_tx });
                        continue;
                    }
                };
                let missing: Vec<SocketAddr> = peers().into_iter().map(question_address).collect();
                if missing.is_empty() {
                    // Sending fails if the resume has given up.
                    let _ = question.answer_tx.send(Answer::Claims(Vec::new()));
                    continue;
                }
                ask(&socket, &question, &missing).await;
                asked.entry(question.request).or_default().push(Asked {
                    question,
                    missing,
                    claims: Vec::new(),
                    repeat_at: Some(now + REPEAT_DELAY),
                    expires_at: now + REPLY_TIMEOUT,
                });
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => match Datagram::decode(&buffer[..length]) {
                    Ok(Datagram::Question { request, service, lifetime }) => {
                        send(&socket, &origins.reply(request, &service, lifetime), sender).await;
                    }
                    Ok(Datagram::Withdraw { request, revision, remaining }) => {
                        let now = origins.clock.now();
                        origins.state().merge_withdrawal(now, request, revision, remaining);
                        send(&socket, &Datagram::Withdrawn { request, revision }, sender).await;
                    }
                    Ok(Datagram::Withdrawn { request, revision }) => {
                        let mut state = origins.state();
                        state.confirm(request, revision, question_address, sender);
                        if state.is_withdrawn(request)
                            && let Some(sent) = withdrawing.remove(&request)
                        {
                            // Sending fails if the request has given up.
                            let _ = sent.answer_tx.send(());
                        }
                    }
                    Ok(reply) => handle_reply(&origins, &mut asked, reply, sender),
                    Err(error) => log::warn!(error:% = error, bytes = length; "failed to decode a datagram about the origin of a stream"),
                },
                Err(error) => log::debug!(error:% = error; "failed to receive a datagram about the origin of a stream"),
            },
            () = sleep_until(wake_at) => {
                let now = Instant::now();
                for questions in asked.values_mut() {
                    for asked in questions.iter_mut() {
                        if asked.repeat_at.is_some_and(|at| at <= now) {
                            asked.repeat_at = None;
                            ask(&socket, &asked.question, &asked.missing).await;
                        }
                    }
                    for expired in questions.extract_if(.., |asked| asked.expires_at <= now) {
                        // Sending fails if the resume has given up.
                        let _ = expired.question.answer_tx.send(Answer::Claims(expired.claims));
                    }
                }
                asked.retain(|_, questions| !questions.is_empty());
                withdrawing.retain(|_, sent| sent.expires_at > now);
                for (request, sent) in &mut withdrawing {
                    if sent.repeat_at.is_some_and(|at| at <= now) {
                        sent.repeat_at = None;
                        send_withdrawal(&origins, &socket, *request, question_address).await;
                    }
                }
            }
        }
    }
}

/// Answers the questions that a reply settles: one with the origin, or the last one that says that
/// the origin is unknown.
fn handle_reply(
    origins: &Origins,
    asked: &mut BTreeMap<Digest, Vec<Asked>>,
    reply: Datagram,
    sender: SocketAddr,
) {
    let (request, known, claim) = match reply {
        Datagram::Question { .. } | Datagram::Withdraw { .. } | Datagram::Withdrawn { .. } => {
            return;
        }
        Datagram::Known { request, origin, remaining } => {
            let software = origin.software.clone();
            origins.state().learn(origins.clock.now(), request, origin, remaining);
            (request, Some(software), None)
        }
        Datagram::Unknown { request, only_version, age } => {
            let claim = only_version.zip(age).map(|(version, age)| Claim { version, age });
            (request, None, claim)
        }
    };
    let Some(questions) = asked.get_mut(&request) else { return };
    for mut asked in std::mem::take(questions) {
        let was_missing = asked.missing.len();
        asked.missing.retain(|peer| *peer != sender);
        if asked.missing.len() < was_missing {
            asked.claims.extend(claim.clone());
        }
        let answer = match &known {
            Some(software) => Answer::Known(software.clone()),
            None if asked.missing.is_empty() => Answer::Claims(asked.claims),
            None => {
                questions.push(asked);
                continue;
            }
        };
        // Sending fails if the resume has given up.
        let _ = asked.question.answer_tx.send(answer);
    }
}

async fn ask(socket: &UdpSocket, question: &Question, peers: &[SocketAddr]) {
    let Question { request, service, lifetime, .. } = question;
    let datagram =
        Datagram::Question { request: *request, service: service.clone(), lifetime: *lifetime };
    for peer in peers {
        send(socket, &datagram, *peer).await;
    }
}

/// Sends the withdrawal of the origin of `request` to the nodes that have not confirmed it.
async fn send_withdrawal(
    origins: &Origins,
    socket: &UdpSocket,
    request: Digest,
    question_address: fn(SocketAddr) -> SocketAddr,
) {
    let withdrawal = origins.state().withdraw(origins.clock.now(), request);
    let Some(Withdrawal { revision, remaining, holders }) = withdrawal else { return };
    let datagram = Datagram::Withdraw { request, revision, remaining };
    for holder in holders {
        send(socket, &datagram, question_address(holder)).await;
    }
}

async fn send(socket: &UdpSocket, datagram: &Datagram, address: SocketAddr) {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "failed to encode a datagram about the origin of a stream");
            return;
        }
    };
    if let Err(error) = socket.send_to(&bytes, address).await {
        log::debug!(peer:% = address, error:% = error; "failed to send a datagram about the origin of a stream");
    }
}
