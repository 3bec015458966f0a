//! Interface of this module to the rest of the daemon.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{mpsc, watch};

use crate::{
    admit,
    error::{Error, Kind, Result},
    gateway::directory::Caller,
    node::Shared,
    time::Millis,
    upstream::{Answer, Event},
};

use super::{
    Generation, ServiceCall, Settings, call,
    driver::Driver,
    intents::Intents,
    reservation::Registry,
    state::{NodeState, Repeatability, Request},
    work::{Progress, Work},
};

/// Events buffered for a slow caller before reading from its upstream pauses.
const EVENT_BUFFER: usize = 64;

/// State shared by all tasks of the node. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    node: Arc<Mutex<NodeState>>,
    pub(super) reservations: Arc<Registry>,
    pub(super) intents: Arc<Intents>,
    /// Number of detached calls, which continue when their caller disconnects.
    detached: watch::Sender<usize>,
}

impl Handle {
    pub fn new(settings: Settings, seed: u64) -> Handle {
        Handle {
            reservations: Arc::default(),
            intents: Arc::new(Intents::new(settings.intent_streams)),
            node: Arc::new(Mutex::new(NodeState::new(settings, seed))),
            detached: watch::channel(0).0,
        }
    }

    /// Starts a generation. The receiver yields each event once, in order of index.
    ///
    /// # Errors
    /// Fails if no deployment serves the model or if the request is not admitted. Later errors
    /// arrive at the receiver.
    pub(crate) async fn generate(
        &self,
        context: &Shared,
        caller: Caller,
        generation: Generation,
    ) -> Result<mpsc::Receiver<Result<Event>>> {
        let directory = context.directory.get(&context.config);
        let deployments = directory.targets(&generation.model);
        if deployments.is_empty() {
            let message = format!("no deployment serves the model {}", generation.model);
            return Err(Error::new(Kind::NotFound, message));
        }
        let targets: Vec<String> =
            deployments.iter().map(|target| target.deployment.to_string()).collect();
        let request = admit::state::Request {
            workspace: caller.workspace,
            target: targets[0].clone(),
            tokens: generation.prompt_tokens + generation.max_tokens,
            deadline: generation.deadline,
        };
        let mut permit = context.admit.acquire(context, request, &caller.spec).await?;
        permit.tokens = generation.prompt_tokens;
        let request =
            Request::new(generation.fingerprint, Repeatability::Idempotent, generation.deadline);
        let (progress_tx, mut progress) = mpsc::channel(EVENT_BUFFER);
        let driver =
            Driver::new(context, Work::Generate(generation), request, targets, progress_tx);
        tokio::spawn(driver.run());
        let (events, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            // The permit is held until the last event has been delivered.
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

    /// Calls a plain service and returns its response.
    pub(crate) async fn call(
        &self,
        context: &Shared,
        caller: Caller,
        request: ServiceCall,
    ) -> Result<Answer> {
        call::call(context, caller, request).await
    }

    /// Waits until all detached calls have ended, at most for `timeout`.
    pub(crate) async fn drain(&self, timeout: Millis) {
        let mut detached = self.detached.subscribe();
        let idle = detached.wait_for(|count| *count == 0);
        if tokio::time::timeout(timeout.duration(), idle).await.is_err() {
            log::warn!("attempt: detached calls were still in flight after {timeout}");
        }
    }

    pub(super) fn node(&self) -> MutexGuard<'_, NodeState> {
        self.node.lock().unwrap()
    }

    /// Counts a detached call until the guard is dropped.
    pub(super) fn detach(&self) -> DetachedGuard {
        self.detached.send_modify(|count| *count += 1);
        DetachedGuard { count: self.detached.clone() }
    }
}

/// Guard that counts a detached call as in flight until dropped.
pub(super) struct DetachedGuard {
    count: watch::Sender<usize>,
}

impl Drop for DetachedGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
