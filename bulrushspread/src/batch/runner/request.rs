//! Items as engines take them, and answers as result lines carry them.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    batch::message::Work,
    error::{Error, Kind},
    upstream::Generate,
};

use super::message::Start;

pub(crate) type Result<T> = std::result::Result<T, serde_json::Error>;

/// Tokens that an item gets when it names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
const CHAT_PATH: &str = "/v1/chat/completions";

/// The fields of a completion request that an engine needs.
#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    prompt: Prompt,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

impl Default for Prompt {
    fn default() -> Prompt {
        Prompt::Many(Vec::new())
    }
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: String,
}

/// The generation that continues the item after `text`.
pub(crate) fn generate(start: &Start, work: &Work, text: Vec<String>) -> Result<Generate> {
    let body: Body = serde_json::from_str(&work.body)?;
    Ok(Generate {
        id: start.stream(),
        model: body.model.clone(),
        prompt: prompt(&body),
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        from: text.len() as u32,
        resume_text: text,
    })
}

/// The OpenAI-shaped response body of a finished item.
pub(crate) fn answer(work: &Work, text: &[String], finish: &str) -> String {
    let ticket = &work.ticket;
    let whole = text.concat();
    let model = work.model.as_ref().map(ToString::to_string);
    let (object, choice) = if work.url == CHAT_PATH {
        let message = json!({"role": "assistant", "content": whole});
        ("chat.completion", json!({"index": 0, "message": message, "finish_reason": finish}))
    } else {
        ("text_completion", json!({"index": 0, "text": whole, "finish_reason": finish}))
    };
    let body: Value = json!({
        "id": format!("{}-{}", ticket.job, ticket.item),
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": text.len()},
    });
    body.to_string()
}

/// The response body of an item that can't be run.
pub(crate) fn refusal(reason: &str) -> String {
    let body = Error::new(Kind::BadRequest, reason).body();
    serde_json::to_string(&body).unwrap_or_default()
}

fn prompt(body: &Body) -> String {
    if !body.messages.is_empty() {
        let lines = body.messages.iter().map(|message| {
            let ChatMessage { role, content } = message;
            format!("{role}: {content}\n")
        });
        return lines.collect();
    }
    match &body.prompt {
        Prompt::One(prompt) => prompt.clone(),
        Prompt::Many(prompts) => prompts.concat(),
    }
}
