//! Runs one policy on a fleet of real processes.

use std::time::Duration;

use futures_util::{StreamExt, future::join_all};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    engine,
    fleet::{Caller, Fleet, MODEL, Plan},
};

use super::{
    Harm, Result,
    figures::{Figures, Times},
    policy::{Policy, RESERVED_DEPLOYMENT, RESERVED_MODEL},
    workload::{Arrival, Workload},
    yields::Yields,
};

/// Sequences that one engine runs at once.
const SLOTS: u32 = 16;
const STEP_MS: f64 = 20.0;
const STEP_MS_PER_SEQUENCE: f64 = 0.5;
/// Jobs of a trial, spread over the nodes.
const JOBS: usize = 8;
/// Items that all replicas together can't finish in a second.
const ITEMS_PER_REPLICA_S: usize = 16;
/// Time between the submission of the jobs and the start of measuring.
const WARM_UP: Duration = Duration::from_secs(4);
const ONLINE: &str = "online";
const BATCH: &str = "batch";

/// Tokens and items counted so far.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    online_tokens: u64,
    batch_tokens: u64,
    items: u64,
    failures: u64,
}

/// Runs the policy for the span of the options.
pub(super) async fn run(options: &Harm, workload: &Workload, policy: Policy) -> Result<Figures> {
    let yields = Yields::listen().await?;
    let mut fleet = start(options, &policy, &yields).await?;
    let jobs = match policy.has_batch() {
        true => submit(options, workload, &policy, &fleet).await?,
        false => Vec::new(),
    };
    sleep(WARM_UP).await;
    yields.clear();
    let before = totals(&fleet, &jobs).await?;
    let start = Instant::now();
    let mut figures = match policy.has_online() {
        true => call(&fleet, workload, start).await,
        false => Figures::default(),
    };
    sleep_until(start + options.span).await;
    let seconds = start.elapsed().as_secs_f64();
    let after = totals(&fleet, &jobs).await?;
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    figures.online_tokens_per_s = rate(after.online_tokens, before.online_tokens);
    figures.batch_tokens_per_s = rate(after.batch_tokens, before.batch_tokens);
    figures.batch_items_per_s = rate(after.items, before.items);
    figures.batch_failures = after.failures;
    figures.yields = yields.times();
    for node in &mut fleet.nodes {
        node.process.kill().await?;
    }
    Ok(figures)
}

async fn start(options: &Harm, policy: &Policy, yields: &Yields) -> Result<Fleet> {
    let mut plan = Plan::new(options.program.clone());
    plan.nodes = options.nodes;
    plan.engines = options.replicas;
    plan.plains = 0;
    plan.engine = engine::Settings {
        slots: SLOTS,
        step_ms: STEP_MS,
        step_ms_per_sequence: STEP_MS_PER_SEQUENCE,
        loaded: vec![MODEL.to_string(), RESERVED_MODEL.to_string()],
        ..plan.engine
    };
    plan.node = json!({
        "batch": { "runner": policy.runner() },
        "telemetry": { "statsd": yields.address },
    });
    policy.declare(&mut plan);
    let last = options.replicas - policy.reserved();
    let mut fleet = Fleet::start_unconfigured(plan).await?;
    for index in last..options.replicas {
        fleet.assign_engine(index, RESERVED_DEPLOYMENT);
    }
    fleet.list_vms().await?;
    let piece = fleet.plan.piece.clone();
    fleet.publish(0, &"platform".into(), &piece).await?;
    fleet.wait_ready().await?;
    Ok(fleet)
}

async fn submit(
    options: &Harm,
    workload: &Workload,
    policy: &Policy,
    fleet: &Fleet,
) -> Result<Vec<String>> {
    let seconds = (options.span + WARM_UP).as_secs() as usize;
    let items = ITEMS_PER_REPLICA_S * options.replicas * seconds / JOBS;
    let mut jobs = Vec::new();
    for job in 0..JOBS {
        let caller = fleet.caller(job % options.nodes);
        let file = caller.upload(&workload.job(job, items, policy.batch_model())).await?;
        let extra = json!({ "endpoint": "/v1/completions" });
        let answer = caller.create_job(&file, None, &extra).await?.success()?;
        let view: Value = answer.json()?;
        jobs.push(view["id"].as_str().unwrap_or_default().to_string());
    }
    Ok(jobs)
}

async fn totals(fleet: &Fleet, jobs: &[String]) -> Result<Totals> {
    let mut totals = Totals::default();
    for engine in &fleet.engines {
        let state = engine.standin.state().await?;
        let tokens = |name: &str| state["counts"]["names"][name]["tokens"].as_u64().unwrap_or(0);
        totals.online_tokens += tokens(ONLINE);
        totals.batch_tokens += tokens(BATCH);
    }
    for (index, job) in jobs.iter().enumerate() {
        let view = fleet.caller(index % fleet.nodes.len()).job(job).await?;
        let count = |name: &str| view["request_counts"][name].as_u64().unwrap_or(0);
        totals.items += count("completed");
        totals.failures += count("failed");
    }
    Ok(totals)
}

/// Sends the arrivals at their times, each to the next node, and waits for all answers.
async fn call(fleet: &Fleet, workload: &Workload, start: Instant) -> Figures {
    let callers: Vec<Caller> = (0..fleet.nodes.len()).map(|node| fleet.caller(node)).collect();
    let answers = workload.arrivals.iter().enumerate().map(|(index, arrival)| {
        let caller = callers[index % callers.len()].clone();
        let arrival = arrival.clone();
        tokio::spawn(async move {
            sleep_until(start + arrival.at).await;
            answer(caller, arrival).await
        })
    });
    let mut figures = Figures::default();
    for answer in join_all(answers).await {
        match answer {
            Ok(Ok((ttft, itl))) => {
                figures.ttft.record(ttft);
                figures.itl.merge(&itl);
            }
            Ok(Err(error)) => {
                log::warn!("experiment: an online request failed: {error:#}");
                figures.online_failures += 1;
            }
            Err(_) => figures.online_failures += 1,
        }
    }
    figures
}

/// The time to the first token of one answer, and the times between its tokens.
async fn answer(caller: Caller, arrival: Arrival) -> Result<(Duration, Times)> {
    let mut last = Instant::now();
    let mut first = None;
    let mut itl = Times::default();
    let mut events = Box::pin(caller.open_stream(&arrival.prompt, arrival.tokens).await?);
    while let Some(event) = events.next().await {
        event?;
        let gap = last.elapsed();
        last = Instant::now();
        match first {
            None => first = Some(gap),
            Some(_) => itl.record(gap),
        }
    }
    let first = first.ok_or_else(|| anyhow::anyhow!("the answer has no token"))?;
    Ok((first, itl))
}
