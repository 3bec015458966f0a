//! What other slices use of this one.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{mpsc, watch};

use crate::{
    admit::state::Ask,
    error::{Error, Kind, Result},
    gateway::directory::Caller,
    node::Shared,
    time::Millis,
    upstream::{Answer, Event},
};

use super::{
    Generation, ServiceCall, Settings,
    apart::Apart,
    call,
    drive::Drive,
    intents::Intents,
    state::{Node, Repeat, Request},
    work::{Progress, Work},
};

/// Events that wait for a slow caller before its upstream is read no further.
const EVENTS_BUFFERED: usize = 64;

/// Shared by all tasks of the node. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    node: Arc<Mutex<Node>>,
    pub(super) apart: Arc<Apart>,
    pub(super) intents: Arc<Intents>,
    /// Calls that go on without their caller.
    detached: watch::Sender<usize>,
}

impl Handle {
    pub fn new(settings: Settings, seed: u64) -> Handle {
        Handle {
            apart: Arc::default(),
            intents: Arc::new(Intents::new(settings.intent_streams)),
            node: Arc::new(Mutex::new(Node::new(settings, seed))),
            detached: watch::channel(0).0,
        }
    }

    /// Starts a generation. Its events come in order of index, each once.
    pub(crate) async fn generate(
        &self,
        context: &Shared,
        caller: Caller,
        generation: Generation,
    ) -> Result<mpsc::Receiver<Result<Event>>> {
        let directory = context.directory.get(&context.config);
        let targets = directory.targets(&generation.model);
        if targets.is_empty() {
            let message = format!("no deployment serves the model {}", generation.model);
            return Err(Error::new(Kind::NotFound, message));
        }
        let serves: Vec<String> =
            targets.iter().map(|target| target.deployment.to_string()).collect();
        let ask = Ask {
            workspace: caller.workspace,
            serves: serves[0].clone(),
            tokens: generation.prompt_tokens + generation.max_tokens,
            deadline: generation.deadline,
        };
        let mut permit = context.admit.enter(context, ask, &caller.spec).await?;
        permit.tokens = generation.prompt_tokens;
        let request = Request::new(generation.fingerprint, Repeat::Idempotent, generation.deadline);
        let (out, mut progress) = mpsc::channel(EVENTS_BUFFERED);
        let drive = Drive::new(context, Work::Generate(generation), request, serves, out);
        tokio::spawn(drive.run());
        let (events, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            // Holds its place until the last event has been handed over.
            let mut permit = permit;
            while let Some(item) = progress.recv().await {
                let event = match item {
                    Ok(Progress::Event(event)) => {
                        permit.tokens += 1;
                        Ok(event)
                    }
                    Ok(Progress::Answer(_)) => continue,
                    Err(error) => Err(error),
                };
                if events.send(event).await.is_err() {
                    return;
                }
            }
        });
        Ok(receiver)
    }

    /// Calls a plain service and returns its answer.
    pub(crate) async fn call(
        &self,
        context: &Shared,
        caller: Caller,
        request: ServiceCall,
    ) -> Result<Answer> {
        call::call(context, caller, request).await
    }

    /// Waits until no call goes on without its caller, or the time is over.
    pub(crate) async fn settle(&self, limit: Millis) {
        let mut detached = self.detached.subscribe();
        let idle = detached.wait_for(|count| *count == 0);
        if tokio::time::timeout(limit.duration(), idle).await.is_err() {
            log::warn!("attempt: calls were still in flight after {limit}");
        }
    }

    pub(super) fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap()
    }

    /// Counts a call that goes on without its caller, until the guard is dropped.
    pub(super) fn detach(&self) -> Detached {
        self.detached.send_modify(|count| *count += 1);
        Detached { count: self.detached.clone() }
    }
}

/// A call that goes on without its caller.
pub(super) struct Detached {
    count: watch::Sender<usize>,
}

impl Drop for Detached {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
