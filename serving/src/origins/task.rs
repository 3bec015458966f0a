//! Asks other nodes for the origins of streams, and replies to their questions.

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

use super::{Datagram, Digest, State};

/// How long a resume waits for the replies of other nodes.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay after which a question is sent again, because datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(30);
/// Limit of questions that wait to be sent; a resume beyond it counts as unanswered.
const MAX_QUESTIONS: usize = 256;
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

/// The origins that this node knows or can ask for.
pub struct Origins {
    clock: Clock,
    fleet: Arc<Mutex<fleet::State>>,
    state: Mutex<State>,
    question_tx: mpsc::Sender<Question>,
    question_rx: Mutex<Option<mpsc::Receiver<Question>>>,
}

impl Origins {
    pub fn new(clock: Clock, fleet: Arc<Mutex<fleet::State>>) -> Origins {
        let (question_tx, question_rx) = mpsc::channel(MAX_QUESTIONS);
        let question_rx = Mutex::new(Some(question_rx));
        Origins { clock, fleet, state: Mutex::default(), question_tx, question_rx }
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
        if self.question_tx.try_send(question).is_err() {
            log::warn!("too many questions for the origins of streams; a resume is refused");
            return None;
        }
        tokio::time::timeout(REPLY_TIMEOUT, answer).await.ok()?.ok()?
    }

    fn find_here(
        &self,
        request: Digest,
        service: Option<&Service>,
        lifetime: Millis,
    ) -> Option<Software> {
        let now = self.clock.now();
        let known = self.state().find(now, request).cloned();
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
        if let Some(origin) = state.find(now, request).cloned() {
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

/// Asks and replies until the process exits. `peers` returns the addresses at which the other nodes
/// receive questions.
pub async fn run(
    origins: Arc<Origins>,
    socket: UdpSocket,
    peers: impl Fn() -> Vec<SocketAddr> + Send,
) {
    let receiver = origins.question_rx.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut question_rx) = receiver else { return };
    let mut asked: BTreeMap<Digest, Vec<Asked>> = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let wake_at =
            asked.values().flatten().map(|asked| asked.repeat_at.unwrap_or(asked.expires_at));
        let wake_at = wake_at.min().unwrap_or_else(|| Instant::now() + REPLY_TIMEOUT);
        tokio::select! {
            Some(question) = question_rx.recv() => {
                let now = Instant::now();
                let missing = peers();
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
                    Ok(reply) => handle_reply(&origins, &mut asked, reply, sender),
                    Err(error) => log::warn!(error:% = error, bytes = length; "failed to decode a question for the origin of a stream"),
                },
                Err(error) => log::debug!(error:% = error; "failed to receive a question for the origin of a stream"),
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
        Datagram::Question { .. } => return,
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

async fn send(socket: &UdpSocket, datagram: &Datagram, address: SocketAddr) {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "failed to encode a question for the origin of a stream");
            return;
        }
    };
    if let Err(error) = socket.send_to(&bytes, address).await {
        log::debug!(peer:% = address, error:% = error; "failed to send a question for the origin of a stream");
    }
}
