//! Calls to plain services, with durable intents where a call must run at most once.

use tokio::sync::mpsc;
use uuid::Uuid;

use crate::{
    admit,
    error::{Error, Kind, Result},
    gateway::directory::Caller,
    id::Workspace,
    node::Shared,
    time::Millis,
    upstream::Answer,
};

use super::{
    ServiceCall,
    driver::Driver,
    intent::{Intent, Key, Outcome, StoredAnswer},
    intents::{Claim, Intents},
    state::{Repeatability, Request},
    work::{Progress, Work},
};

/// Time for which the response is held back until its outcome is recorded.
const RECORD_TIMEOUT: Millis = Millis(2_000);

/// Calls a plain service and returns its response.
///
/// Calls that must run at most once continue in a task of their own when the caller disconnects.
pub(super) async fn call(
    context: &Shared,
    caller: Caller,
    mut call: ServiceCall,
) -> Result<Answer> {
    let directory = context.directory.get(&context.config);
    let spec = directory.service(&call.service).ok_or_else(|| {
        Error::new(Kind::NotFound, format!("there is no service {}", call.service))
    })?;
    call.deadline = call.deadline.min(context.clock.now() + Millis(spec.timeout_ms));
    let request = admit::state::Request {
        workspace: caller.workspace.clone(),
        target: call.service.to_string(),
        tokens: 0,
        deadline: call.deadline,
    };
    let permit = context.admit.acquire(context, request, &caller.spec).await?;
    let method = call.method.as_str();
    if spec.idempotent_methods.iter().any(|known| known.eq_ignore_ascii_case(method)) {
        return run(context.clone(), call, Repeatability::Idempotent).await;
    }
    let detached = context.attempt.detach();
    let context = context.clone();
    let task = tokio::spawn(async move {
        let answer = match call.key.clone() {
            Some(key) => {
                call_with_key(&context, Key { workspace: caller.workspace, key }, call).await
            }
            None => run(context, call, Repeatability::AtMostOnce).await,
        };
        drop((permit, detached));
        answer
    });
    task.await.unwrap_or_else(|error| Err(Error::new(Kind::Internal, error.to_string())))
}

async fn run(context: Shared, call: ServiceCall, repeatability: Repeatability) -> Result<Answer> {
    let request = Request::new(call.fingerprint, repeatability, call.deadline);
    let targets = vec![call.service.to_string()];
    let (progress_tx, mut progress) = mpsc::channel(1);
    tokio::spawn(Driver::new(&context, Work::Call(call), request, targets, progress_tx).run());
    match progress.recv().await {
        Some(Ok(Progress::Answer(answer))) => Ok(answer),
        Some(Err(error)) => Err(error),
        Some(Ok(Progress::Event(_))) | None => {
            Err(Error::new(Kind::Internal, "the call ended without an answer"))
        }
    }
}

/// Runs the call unless a call with the same idempotency key was accepted at any node.
async fn call_with_key(context: &Shared, key: Key, call: ServiceCall) -> Result<Answer> {
    let intents = context.attempt.intents.clone();
    let wait = call.deadline - context.clock.now();
    let intent = Intent {
        key,
        fingerprint: call.fingerprint,
        vm: context.settings.vm.clone(),
        incarnation: context.incarnation,
        nonce: Uuid::new_v4().as_u128() as u64,
        at: context.clock.wall_time(),
    };
    match intents.claim(context, intent.clone(), wait).await? {
        Claim::Held(entry) => intents.resolve(context, &intent, entry).await,
        Claim::Won => {
            let limit = context.settings.attempt.answer_bytes;
            let result = run(context.clone(), call, Repeatability::AtMostOnce).await;
            record(context, intents, intent, outcome(&result, limit)).await;
            result
        }
    }
}

/// Records the outcome of a call. When the log is slow, this continues in the background after
/// `RECORD_TIMEOUT`.
async fn record(
    context: &Shared,
    intents: std::sync::Arc<Intents>,
    intent: Intent,
    outcome: Outcome,
) {
    let detached = context.attempt.detach();
    let context = context.clone();
    let task = tokio::spawn(async move {
        intents.record_outcome(&context, &intent, outcome).await;
        drop(detached);
    });
    let _ = tokio::time::timeout(RECORD_TIMEOUT.duration(), task).await;
}

fn outcome(result: &Result<Answer>, limit: usize) -> Outcome {
    match result {
        Ok(answer) => {
            StoredAnswer::new(answer, limit).map_or(Outcome::NotStored, Outcome::Answered)
        }
        Err(error) => match error.kind {
            Kind::OutcomeUnknown | Kind::Quarantined | Kind::Internal => Outcome::Unknown,
            // Nothing was sent, or every upstream refused the call without running it.
            _ => Outcome::Released,
        },
    }
}

/// Index of the stream that holds the intents of a key.
pub(super) fn stream_index(workspace: &Workspace, key: &str, streams: u16) -> u16 {
    let hash = xxhash_rust::xxh3::xxh3_64(format!("{workspace}\0{key}").as_bytes());
    (hash % u64::from(streams.max(1))) as u16
}
