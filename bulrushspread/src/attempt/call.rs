//! Calls to plain services, with durable intents where a call must run at most once.

use tokio::sync::mpsc;
use uuid::Uuid;

use crate::{
    admit::state::Ask,
    error::{Error, Kind, Result},
    gateway::directory::Caller,
    id::Workspace,
    node::Shared,
    time::Millis,
    upstream::Answer,
};

use super::{
    ServiceCall,
    drive::Drive,
    intent::{Intent, Key, Outcome, StoredAnswer},
    intents::{Claim, Intents},
    state::{Repeat, Request},
    work::{Progress, Work},
};

/// Time that the caller waits for its answer to be recorded.
const RECORD_TIMEOUT: Millis = Millis(2_000);

/// Calls a plain service and returns its answer.
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
    let ask = Ask {
        workspace: caller.workspace.clone(),
        serves: call.service.to_string(),
        tokens: 0,
        deadline: call.deadline,
    };
    let permit = context.admit.enter(context, ask, &caller.spec).await?;
    let method = call.method.as_str();
    if spec.idempotent_methods.iter().any(|known| known.eq_ignore_ascii_case(method)) {
        return run(context.clone(), call, Repeat::Idempotent).await;
    }
    let detached = context.attempt.detach();
    let context = context.clone();
    let task = tokio::spawn(async move {
        let answer = match call.key.clone() {
            Some(key) => keyed(&context, Key { workspace: caller.workspace, key }, call).await,
            None => run(context, call, Repeat::AtMostOnce).await,
        };
        drop((permit, detached));
        answer
    });
    task.await.unwrap_or_else(|error| Err(Error::new(Kind::Internal, error.to_string())))
}

async fn run(context: Shared, call: ServiceCall, repeat: Repeat) -> Result<Answer> {
    let request = Request::new(call.fingerprint, repeat, call.deadline);
    let serves = vec![call.service.to_string()];
    let (out, mut progress) = mpsc::channel(1);
    tokio::spawn(Drive::new(&context, Work::Call(call), request, serves, out).run());
    match progress.recv().await {
        Some(Ok(Progress::Answer(answer))) => Ok(answer),
        Some(Err(error)) => Err(error),
        Some(Ok(Progress::Event(_))) | None => {
            Err(Error::new(Kind::Internal, "the call ended without an answer"))
        }
    }
}

/// Runs the call once for its key, over all nodes.
async fn keyed(context: &Shared, key: Key, call: ServiceCall) -> Result<Answer> {
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
        Claim::Known(entry) => intents.resolve(context, &intent, entry).await,
        Claim::Won => {
            let limit = context.settings.attempt.answer_bytes;
            let result = run(context.clone(), call, Repeat::AtMostOnce).await;
            record(context, intents, intent, outcome(&result, limit)).await;
            result
        }
    }
}

/// Records how the call ended. Goes on in a task of its own when the log is slow.
async fn record(
    context: &Shared,
    intents: std::sync::Arc<Intents>,
    intent: Intent,
    outcome: Outcome,
) {
    let detached = context.attempt.detach();
    let context = context.clone();
    let task = tokio::spawn(async move {
        intents.end(&context, &intent, outcome).await;
        drop(detached);
    });
    let _ = tokio::time::timeout(RECORD_TIMEOUT.duration(), task).await;
}

fn outcome(result: &Result<Answer>, limit: usize) -> Outcome {
    match result {
        Ok(answer) => StoredAnswer::new(answer, limit).map_or(Outcome::Unkept, Outcome::Answered),
        Err(error) => match error.kind {
            Kind::OutcomeUnknown | Kind::Quarantined | Kind::Internal => Outcome::Unknown,
            // Nothing was sent, or each upstream refused without running the call.
            _ => Outcome::Released,
        },
    }
}

/// The stream that holds the intents of a key.
pub(super) fn stream_index(workspace: &Workspace, key: &str, streams: u16) -> u16 {
    let hash = xxhash_rust::xxh3::xxh3_64(format!("{workspace}\0{key}").as_bytes());
    (hash % u64::from(streams.max(1))) as u16
}
