//! Batch jobs as a caller submits, awaits and checks them.

use std::{collections::BTreeMap, time::Duration};

use anyhow::{Context, ensure};
use http::StatusCode;
use serde_json::{Value, json};

use crate::{client::Answer, wait::wait_until};

use super::{
    Caller, Result,
    caller::{chat_body, chat_text},
};

/// The items of a job, in order.
#[derive(Clone, Debug, Default)]
pub struct Items(String);

impl Items {
    /// Adds an item that asks for a chat completion.
    pub fn chat(mut self, custom_id: &str, prompt: &str, max_tokens: u32) -> Items {
        let item = json!({
            "custom_id": custom_id,
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": chat_body(prompt, max_tokens),
        });
        self.0.push_str(&format!("{item}\n"));
        self
    }

    /// Items whose texts are known: item `n` is named `prefix-n`.
    pub fn numbered(prefix: &str, count: usize, max_tokens: u32) -> Items {
        (0..count).fold(Items::default(), |items, index| {
            let name = format!("{prefix}-{index}");
            items.chat(&name, &format!("<id:{name}>"), max_tokens)
        })
    }
}

/// How the items of a job ended, by custom id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The texts of answered items.
    pub answered: BTreeMap<String, String>,
    /// The lines of items that failed for good.
    pub failed: BTreeMap<String, String>,
}

impl Caller {
    /// Uploads a file of items and returns its id.
    pub async fn upload_items(&self, items: &Items) -> Result<String> {
        self.upload(&items.0).await
    }

    /// Uploads items, creates a job of them and returns its id.
    pub async fn submit(&self, items: &Items) -> Result<String> {
        let file = self.upload_items(items).await?;
        job_id(self.create_job(&file, None, &json!({})).await?)
    }

    /// The number of items that a job counts under a name such as `completed`.
    pub async fn job_count(&self, job: &str, name: &str) -> Result<u64> {
        Ok(self.job(job).await?["request_counts"][name].as_u64().unwrap_or_default())
    }

    /// Waits until so many items of a job are completed.
    pub async fn wait_completed(&self, job: &str, count: u64, bound: Duration) -> Result<()> {
        wait_until(&format!("{count} items of {job} are completed"), bound, || async {
            let completed = self.job_count(job, "completed").await.ok()?;
            (completed >= count).then_some(())
        })
        .await
    }

    /// Waits until a job has ended and returns how its items ended.
    pub async fn wait_job(&self, job: &str, bound: Duration) -> Result<Outcome> {
        let what = format!("{job} has ended");
        let ended = wait_until(&what, bound, || async {
            let view = self.job(job).await.ok()?;
            matches!(view["status"].as_str()?, "completed" | "cancelled").then_some(view)
        });
        let view = match ended.await {
            Ok(view) => view,
            Err(error) => {
                let view = self.job(job).await;
                return Err(error.context(format!("the job is now {view:?}")));
            }
        };
        self.outcome(&view).await
    }

    /// Reads the results of a job that has ended. Each custom id must stand once.
    pub async fn outcome(&self, job: &Value) -> Result<Outcome> {
        let mut outcome = Outcome::default();
        if let Some(file) = job["output_file_id"].as_str() {
            for line in self.results(file).await? {
                let text = chat_text(&line["response"]["body"]).unwrap_or_default();
                insert(&mut outcome.answered, &line, text)?;
            }
        }
        if let Some(file) = job["error_file_id"].as_str() {
            for line in self.results(file).await? {
                insert(&mut outcome.failed, &line, line.to_string())?;
            }
        }
        let twice = outcome.failed.keys().find(|name| outcome.answered.contains_key(*name));
        ensure!(twice.is_none(), "{twice:?} both answered and failed");
        Ok(outcome)
    }
}

/// The id in the answer to the creation of a job.
pub fn job_id(answer: Answer) -> Result<String> {
    ensure!(answer.status == StatusCode::OK, "status {}: {}", answer.status, answer.text());
    let job: Value = answer.json()?;
    Ok(job["id"].as_str().context("no id")?.to_string())
}

fn insert(lines: &mut BTreeMap<String, String>, line: &Value, text: String) -> Result<()> {
    let name = line["custom_id"].as_str().with_context(|| format!("no custom id in {line}"))?;
    let earlier = lines.insert(name.to_string(), text);
    ensure!(earlier.is_none(), "{name} stands twice");
    Ok(())
}
