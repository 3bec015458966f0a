//! Converts items to engine requests, and their output to OpenAI-shaped response bodies.

use crate::{
    batch::message::Work,
    error::{Error, Kind},
    gateway::openai::{Head, Request, Shape, prompt_tokens},
    upstream::{Event, Generate},
};

use super::message::Execution;

pub(crate) type Result<T> = std::result::Result<T, serde_json::Error>;

const CHAT_PATH: &str = "/v1/chat/completions";

/// The engine request that continues the item after the tokens in `text`.
pub(crate) fn generate_request(
    execution: &Execution,
    work: &Work,
    text: Vec<String>,
) -> Result<Generate> {
    let request: Request = serde_json::from_str(&work.body)?;
    Ok(Generate {
        id: execution.stream_id(),
        model: request.model.clone(),
        prompt: request.prompt(shape(work)),
        max_tokens: request.max_tokens(),
        from: text.len() as u32,
        resume_text: text,
    })
}

/// The OpenAI-shaped response body of a completed item.
pub(crate) fn response_body(work: &Work, text: &[String], finish: String, created: u64) -> String {
    let ticket = &work.ticket;
    let head = Head {
        id: format!("cmpl-{}-{}", ticket.job, ticket.item),
        created,
        model: work.model.as_ref().map(ToString::to_string).unwrap_or_default(),
        shape: shape(work),
    };
    let last = text.len().saturating_sub(1);
    let event = |(index, text): (usize, &String)| Event {
        index: index as u32,
        text: text.clone(),
        finish: (index == last).then(|| finish.clone()),
    };
    let events: Vec<Event> = text.iter().enumerate().map(event).collect();
    let request = serde_json::from_str::<Request>(&work.body);
    let prompt = request.map(|request| request.prompt(head.shape)).unwrap_or_default();
    let completion = head.whole(prompt_tokens(&prompt), &events);
    serde_json::to_string(&completion).unwrap_or_default()
}

/// The response body of an item that is malformed.
pub(crate) fn error_body(reason: &str) -> String {
    let body = Error::new(Kind::BadRequest, reason).body();
    serde_json::to_string(&body).unwrap_or_default()
}

fn shape(work: &Work) -> Shape {
    if work.url == CHAT_PATH { Shape::Chat } else { Shape::Text }
}
