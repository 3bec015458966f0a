//! Starts stand-ins and three nodes, serves online requests beside a batch job with two items
//! that can't complete, and says what came of each. Fails if a promise broke.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use http::Method;
use serde::Serialize;
use serde_json::{Value, json};
use standins::{
    client::Call,
    engine::text,
    fleet::{Fleet, Items, Outcome, Plan, Program, Result, job_id},
    role,
};

/// Online completions, spread over the nodes.
const STREAMS: usize = 12;
/// Tokens of one online completion.
const STREAM_TOKENS: u32 = 40;
/// Batch items that can complete.
const ITEMS: usize = 100;
/// Tokens of one batch item.
const ITEM_TOKENS: u32 = 16;
/// Batch items that the engines always fail.
const HOPELESS: [&str; 2] = ["hopeless-0", "hopeless-1"];
const JOB_BOUND: Duration = Duration::from_secs(20);
const STOP_BOUND: Duration = Duration::from_secs(10);

/// The last line of the output.
#[derive(Debug, Default, Serialize)]
struct Summary {
    streams: usize,
    streams_whole: usize,
    service_calls: usize,
    service_calls_once: usize,
    items: usize,
    items_answered: usize,
    items_failed: usize,
    seconds: f64,
    /// Promises that broke.
    broken: Vec<String>,
}

impl Summary {
    /// Prints what came of a promise and notes it if it broke.
    fn check(&mut self, promise: &str, result: Result<()>) {
        match result {
            Ok(()) => println!("kept    {promise}"),
            Err(error) => {
                println!("BROKEN  {promise}: {error:#}");
                self.broken.push(promise.to_string());
            }
        }
    }
}

fn main() -> ExitCode {
    if let Some(code) = role::reenter() {
        return code;
    }
    let runtime = tokio::runtime::Runtime::new();
    match runtime.map_err(anyhow::Error::from).and_then(|runtime| runtime.block_on(run())) {
        Ok(summary) if summary.broken.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<Summary> {
    let start = Instant::now();
    let mut summary = Summary { items: ITEMS + HOPELESS.len(), ..Summary::default() };
    let mut fleet = Fleet::start(Plan::new(Program::current()?)).await?;
    println!("started {} nodes and {} engines", fleet.nodes.len(), fleet.engines.len());

    let job = submit(&fleet, &mut summary).await?;
    serve_online(&fleet, &mut summary).await;
    call_service(&fleet, &mut summary).await;
    finish_job(&fleet, &job, &mut summary).await;
    cancel_job(&fleet, &mut summary).await;
    stop_node(&mut fleet, &mut summary).await;

    if !summary.broken.is_empty() {
        eprintln!("{}", fleet.diagnosis());
    }
    summary.seconds = start.elapsed().as_secs_f64();
    println!("{}", serde_json::to_string(&summary)?);
    Ok(summary)
}

/// Submits the job at one node and resends it at another.
async fn submit(fleet: &Fleet, summary: &mut Summary) -> Result<String> {
    let items = HOPELESS.iter().fold(Items::numbered("note", ITEMS, ITEM_TOKENS), |items, name| {
        items.chat(name, &format!("<id:{name}> <fail>"), ITEM_TOKENS)
    });
    let key = Some("evening-notes");
    let file = fleet.caller(0).upload_items(&items).await?;
    let job = job_id(fleet.caller(0).create_job(&file, key, &json!({})).await?)?;
    println!("submitted {job} with {} items", summary.items);
    let resent = fleet.caller(1).create_job(&file, key, &json!({})).await.and_then(job_id);
    let same = resent.and_then(|resent| expect("the same job", resent == job));
    summary.check("a resent job is the same job", same);
    Ok(job)
}

async fn serve_online(fleet: &Fleet, summary: &mut Summary) {
    summary.streams = STREAMS;
    let streams = (0..STREAMS).map(|index| async move {
        let name = format!("member-{index}");
        let caller = fleet.caller(index % fleet.nodes.len());
        let chat = caller.stream(&format!("<id:{name}>"), STREAM_TOKENS).await?;
        expect("the whole text", chat.text == text::whole(&name, STREAM_TOKENS))
    });
    let results = join_all(streams).await;
    summary.streams_whole = results.iter().filter(|result| result.is_ok()).count();
    let all = results.into_iter().collect();
    summary.check("each caller receives the whole answer to its own request", all);
}

async fn call_service(fleet: &Fleet, summary: &mut Summary) {
    summary.service_calls = fleet.nodes.len();
    let mut results = Vec::new();
    for node in 0..fleet.nodes.len() {
        results.push(call_once(fleet, node).await);
    }
    summary.service_calls_once = results.iter().filter(|result| result.is_ok()).count();
    summary.check("a plain-service call runs once", results.into_iter().collect());
}

async fn call_once(fleet: &Fleet, node: usize) -> Result<()> {
    let call = Call::new(Method::POST, "/bookings").body(format!("booking {node}"));
    let answer: Value = fleet.caller(node).service(call).await?.success()?.json()?;
    expect("one execution", answer["executions"] == 1)
}

async fn finish_job(fleet: &Fleet, job: &str, summary: &mut Summary) {
    let outcome = fleet.caller(0).wait_job(job, JOB_BOUND).await;
    let result = outcome.and_then(|outcome| {
        summary.items_answered = outcome.answered.len();
        summary.items_failed = outcome.failed.len();
        check_outcome(&outcome)
    });
    summary.check("every item ends exactly once, and hopeless ones hold up no other", result);
    let elsewhere = fleet.caller(2).wait_job(job, JOB_BOUND).await;
    let result = elsewhere.and_then(|outcome| check_outcome(&outcome));
    summary.check("results are readable at every node", result);
}

fn check_outcome(outcome: &Outcome) -> Result<()> {
    let whole = |(name, answer): (&String, &String)| *answer == text::whole(name, ITEM_TOKENS);
    expect("all other items answered", outcome.answered.len() == ITEMS)?;
    expect("whole texts", outcome.answered.iter().all(whole))?;
    expect("two failed items", outcome.failed.keys().eq(HOPELESS))
}

/// Cancels a job whose items would never end.
async fn cancel_job(fleet: &Fleet, summary: &mut Summary) {
    let items = Items::default().chat("endless", "<id:endless> <endless>", ITEM_TOKENS);
    let result = async {
        let job = fleet.caller(1).submit(&items).await?;
        fleet.caller(2).cancel_job(&job).await?.success()?;
        let outcome = fleet.caller(1).wait_job(&job, JOB_BOUND).await?;
        expect("no answer", outcome.answered.is_empty())
    };
    summary.check("a cancelled batch stops", result.await);
}

/// Stops a node while a stream is in flight there.
async fn stop_node(fleet: &mut Fleet, summary: &mut Summary) {
    let caller = fleet.caller(0);
    let stream = tokio::spawn(async move { caller.stream("<id:last>", STREAM_TOKENS).await });
    let result = async {
        fleet.wait_active("last").await?;
        fleet.nodes[0].process.terminate()?;
        let status = fleet.nodes[0].process.wait(STOP_BOUND).await?;
        expect("a clean exit", status.success())?;
        expect("the whole text", stream.await??.text == text::whole("last", STREAM_TOKENS))
    };
    summary.check("a planned stop cuts off no request", result.await);
}

fn expect(what: &str, holds: bool) -> Result<()> {
    anyhow::ensure!(holds, "expected {what}");
    Ok(())
}
