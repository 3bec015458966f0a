//! Asks other nodes for the origins of streams, replies to their questions, and withdraws origins.

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
    fleet::{self, Software},
    id::Service,
    time::{Clock, Millis},
};

use super::{Datagram, Digest, State, Withdrawal};

/// How long a resume waits for the replies of other nodes.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
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
    answer_tx: oneshot::Sender<Option<Software>>,
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
    call_tx: mpsc::Sender<Call>,
    call_rx: Mutex<Option<mpsc::Receiver<Call>>>,
}

impl Origins {
    pub fn new(clock: Clock, fleet: Arc<Mutex<fleet::State>>) -> Origins {
        let (call_tx, call_rx) = mpsc::channel(MAX_CALLS);
        let call_rx = Mutex::new(Some(call_rx));
        Origins { clock, fleet, state: Mutex::default(), call_tx, call_rx }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The software that may resume a stream of `service`, which `request` began; `None` if no node
    /// knows it. `lifetime` is the time for which a stream can be resumed.
    pub async fn find(
        &self,
        request: Digest,
        service: Option<&Service>,
        lifetime: Millis,
    ) -> Option<Software> {
        if let Some(software) = self.find_here(request, service, lifetime) {
            return Some(software);
        }
        let (answer_tx, answer) = oneshot::channel();
        let service = service.cloned().unwrap_or_default();
        let question = Question { request, service, lifetime, answer_tx };
        if self.call_tx.try_send(Call::Ask(question)).is_err() {
            log::warn!("too many questions for the origins of streams; a resume is refused");
            return None;
        }
        tokio::time::timeout(REPLY_TIMEOUT, answer).await.ok()?.ok()?
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

    fn find_here(
        &self,
        request: Digest,
        service: Option<&Service>,
        lifetime: Millis,
    ) -> Option<Software> {
        let now = self.clock.now();
        let known = self.state().find(now, request);
        if let Some(origin) = known {
            return Some(origin.software);
        }
        let service = service?;
        let version = self.fleet().only_version(now, service, lifetime)?;
        Some(Software { service: service.clone(), version })
    }

    fn reply(&self, request: Digest, service: &Service, lifetime: Millis) -> Datagram {
        let now = self.clock.now();
        let state = self.state();
        if let Some(origin) = state.find(now, request) {
            return Datagram::Known { request, origin, remaining: state.remaining(now, request) };
        }
        drop(state);
        let only_version = self.fleet().only_version(now, service, lifetime);
        Datagram::Unknown { request, only_version }
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
                    let _ = question.answer_tx.send(None);
                    continue;
                }
                ask(&socket, &question, &missing).await;
                asked.entry(question.request).or_default().push(Asked {
                    question,
                    missing,
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
                    questions.retain(|asked| asked.expires_at > now);
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

/// Answers the questions that a reply settles: one with the origin or with the only version that
/// could have begun the stream, or the last one that says that the origin is unknown.
fn handle_reply(
    origins: &Origins,
    asked: &mut BTreeMap<Digest, Vec<Asked>>,
    reply: Datagram,
    sender: SocketAddr,
) {
    let (request, answer) = match reply {
        Datagram::Question { .. } | Datagram::Withdraw { .. } | Datagram::Withdrawn { .. } => {
            return;
        }
        Datagram::Known { request, origin, remaining } => {
            let software = origin.software.clone();
            origins.state().learn(origins.clock.now(), request, origin, remaining);
            (request, Some(software))
        }
        Datagram::Unknown { request, only_version } => {
            let service = asked.get(&request).and_then(|questions| questions.first());
            let service = service.map(|asked| asked.question.service.clone());
            let software = |version| Some(Software { service: service?, version });
            (request, only_version.and_then(software))
        }
    };
    let Some(questions) = asked.get_mut(&request) else { return };
    for asked in std::mem::take(questions) {
        let mut asked = asked;
        asked.missing.retain(|peer| *peer != sender);
        if answer.is_some() || asked.missing.is_empty() {
            // Sending fails if the resume has given up.
            let _ = asked.question.answer_tx.send(answer.clone());
        } else {
            questions.push(asked);
        }
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
