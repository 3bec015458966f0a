//! Requests and answers in the shape of the OpenAI API.

use serde::{Deserialize, Serialize};

use crate::upstream::Event;

/// Tokens that are generated when the caller names no number.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Characters that one token of a prompt has on average.
const CHARACTERS_PER_TOKEN: usize = 4;

/// The endpoint that a completion was asked at. It decides the shape of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    Chat,
    Text,
}

/// A request for a completion. Fields that the engines don't know are ignored.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Request {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(crate) prompt: Prompt,
    #[serde(default, alias = "max_completion_tokens")]
    pub(crate) max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatMessage {
    pub(crate) role: String,
    #[serde(default)]
    pub(crate) content: Content,
}

/// A prompt of one text or of several.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum Prompt {
    One(String),
    Many(Vec<String>),
}

/// The content of a message: text, or parts of which the text counts.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Part {
    #[serde(default)]
    pub(crate) text: String,
}

impl Default for Prompt {
    fn default() -> Prompt {
        Prompt::Many(Vec::new())
    }
}

impl Default for Content {
    fn default() -> Content {
        Content::Text(String::new())
    }
}

impl Request {
    /// The text that the engine continues.
    pub(crate) fn prompt(&self, shape: Shape) -> String {
        match shape {
            Shape::Chat => self.messages.iter().map(ChatMessage::line).collect(),
            Shape::Text => match &self.prompt {
                Prompt::One(text) => text.clone(),
                Prompt::Many(texts) => texts.concat(),
            },
        }
    }

    pub(crate) fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }
}

impl ChatMessage {
    fn line(&self) -> String {
        let content = match &self.content {
            Content::Text(text) => text.clone(),
            Content::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        };
        format!("{}: {content}\n", self.role)
    }
}

/// Tokens that a prompt has, estimated from its length.
pub(crate) fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(CHARACTERS_PER_TOKEN) as u32
}

/// What all answers to one request carry.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) id: String,
    pub(crate) created: u64,
    pub(crate) model: String,
    pub(crate) shape: Shape,
}

/// An answer, or one event of a streamed answer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Completion {
    id: String,
    object: &'static str,
    created: u64,
    model: String,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Clone, Debug, Serialize)]
struct Choice {
    index: u32,
    #[serde(flatten)]
    output: Output,
    finish_reason: Option<String>,
}

#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Output {
    Message(Spoken),
    Delta(Spoken),
    Text(String),
}

#[derive(Clone, Debug, Serialize)]
struct Spoken {
    role: &'static str,
    content: String,
}

#[derive(Clone, Debug, Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl Head {
    /// The event that carries one event of the engine.
    pub(crate) fn chunk(&self, event: Event) -> Completion {
        let (object, output) = match self.shape {
            Shape::Chat => ("chat.completion.chunk", Output::Delta(spoken(event.text))),
            Shape::Text => ("text_completion", Output::Text(event.text)),
        };
        self.completion(object, output, event.finish, None)
    }

    /// The whole answer.
    pub(crate) fn whole(&self, prompt_tokens: u32, events: &[Event]) -> Completion {
        let text: String = events.iter().map(|event| event.text.as_str()).collect();
        let (object, output) = match self.shape {
            Shape::Chat => ("chat.completion", Output::Message(spoken(text))),
            Shape::Text => ("text_completion", Output::Text(text)),
        };
        let finish = events.last().and_then(|event| event.finish.clone());
        let completion_tokens = events.len() as u32;
        let total_tokens = prompt_tokens + completion_tokens;
        let usage = Usage { prompt_tokens, completion_tokens, total_tokens };
        self.completion(object, output, finish, Some(usage))
    }

    fn completion(
        &self,
        object: &'static str,
        output: Output,
        finish_reason: Option<String>,
        usage: Option<Usage>,
    ) -> Completion {
        Completion {
            id: self.id.clone(),
            object,
            created: self.created,
            model: self.model.clone(),
            choices: [Choice { index: 0, output, finish_reason }],
            usage,
        }
    }
}

fn spoken(content: String) -> Spoken {
    Spoken { role: "assistant", content }
}
