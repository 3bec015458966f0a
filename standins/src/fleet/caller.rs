//! What a caller asks of a node.

use std::net::SocketAddr;

use anyhow::{anyhow, ensure};
use futures_util::{Stream, StreamExt, stream};
use http::{Method, StatusCode};
use http_body_util::BodyStream;
use serde_json::{Value, json};

use crate::client::{Answer, Call, Client};

use super::{
    Result,
    plan::{MODEL, SERVICE},
};

/// Separates the parts of an upload.
const BOUNDARY: &str = "standins-upload-boundary";
/// The last event of a stream.
const DONE: &str = "[DONE]";

/// A caller with a key, at one node.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
    key: String,
}

/// The whole answer to a streamed completion.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chat {
    pub text: String,
    pub finish: Option<String>,
    /// Events that carried text.
    pub events: usize,
}

impl Caller {
    pub fn new(client: Client, address: SocketAddr, key: &str) -> Caller {
        Caller { client, address, key: key.to_string() }
    }

    /// Sends any call with the caller's key.
    pub async fn call(&self, call: Call) -> Result<Answer> {
        self.client.send(self.address, call.bearer(&self.key)).await
    }

    pub async fn models(&self) -> Result<Vec<String>> {
        let list: Value = self.call(Call::get("/v1/models")).await?.success()?.json()?;
        let models = list["data"].as_array().into_iter().flatten();
        Ok(models.filter_map(|model| Some(model["id"].as_str()?.to_string())).collect())
    }

    /// A completion without streaming: the text of the answer.
    pub async fn chat(&self, prompt: &str, max_tokens: u32) -> Result<String> {
        let call = chat_call(&chat_body(prompt, max_tokens));
        let answer: Value = self.call(call).await?.success()?.json()?;
        chat_text(&answer)
    }

    /// Reads a streamed completion to its end.
    pub async fn stream(&self, prompt: &str, max_tokens: u32) -> Result<Chat> {
        let mut events = Box::pin(self.open_stream(prompt, max_tokens).await?);
        let mut chat = Chat::default();
        while let Some(event) = events.next().await {
            let event = event?;
            ensure!(event["error"].is_null(), "after {:?}: {event}", chat.text);
            let choice = &event["choices"][0];
            if let Some(text) = choice["delta"]["content"].as_str().filter(|text| !text.is_empty())
            {
                chat.text.push_str(text);
                chat.events += 1;
            }
            if let Some(finish) = choice["finish_reason"].as_str() {
                chat.finish = Some(finish.to_string());
            }
        }
        Ok(chat)
    }

    /// Opens a streamed completion. A stream that ends without its last event fails.
    pub async fn open_stream(
        &self,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<impl Stream<Item = Result<Value>> + Send + use<>> {
        let mut body = chat_body(prompt, max_tokens);
        body["stream"] = json!(true);
        let call = chat_call(&body).bearer(&self.key);
        let response = self.client.open(self.address, call).await?;
        ensure!(response.status() == StatusCode::OK, "status {}", response.status());
        let body = Box::pin(BodyStream::new(response.into_body()));
        Ok(stream::unfold((body, Vec::new(), false), |(mut body, mut buffer, ended)| async move {
            if ended {
                return None;
            }
            let event = loop {
                if let Some(data) = take_event(&mut buffer) {
                    break Ok(data);
                }
                match body.next().await {
                    Some(Ok(frame)) => {
                        buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data))
                    }
                    Some(Err(error)) => break Err(error.into()),
                    None => break Err(anyhow!("the stream ended early")),
                }
            };
            let event = match event {
                Ok(data) if data == DONE => return None,
                Ok(data) => serde_json::from_str(&data).map_err(anyhow::Error::from),
                Err(error) => Err(error),
            };
            let ended = event.is_err();
            Some((event, (body, buffer, ended)))
        }))
    }

    /// Calls the plan's plain service.
    pub async fn service(&self, call: Call) -> Result<Answer> {
        let path = format!("/services/{SERVICE}{}", call.path);
        self.call(Call { path, ..call }).await
    }

    /// Uploads the lines of a file and returns its id.
    pub async fn upload(&self, lines: &str) -> Result<String> {
        let body = format!(
            "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; \
             filename=\"items.jsonl\"\r\nContent-Type: application/jsonl\r\n\r\n{lines}\r\n\
             --{BOUNDARY}--\r\n"
        );
        let kind = format!("multipart/form-data; boundary={BOUNDARY}");
        let call = Call::new(Method::POST, "/v1/files").header("content-type", &kind).body(body);
        let file: Value = self.call(call).await?.success()?.json()?;
        Ok(file["id"].as_str().ok_or_else(|| anyhow!("no id in {file}"))?.to_string())
    }

    /// Creates a job; `extra` is laid over the usual body.
    pub async fn create_job(&self, file: &str, key: Option<&str>, extra: &Value) -> Result<Answer> {
        let mut body = json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "1h",
        });
        for (name, value) in extra.as_object().into_iter().flatten() {
            body[name] = value.clone();
        }
        let mut call = Call::new(Method::POST, "/v1/batches").json(&body);
        if let Some(key) = key {
            call = call.header("idempotency-key", key);
        }
        self.call(call).await
    }

    pub async fn job(&self, job: &str) -> Result<Value> {
        self.call(Call::get(&format!("/v1/batches/{job}"))).await?.success()?.json()
    }

    pub async fn cancel_job(&self, job: &str) -> Result<Answer> {
        self.call(Call::new(Method::POST, &format!("/v1/batches/{job}/cancel"))).await
    }

    /// The lines of a file of results.
    pub async fn results(&self, file: &str) -> Result<Vec<Value>> {
        let answer = self.call(Call::get(&format!("/v1/files/{file}/content"))).await?.success()?;
        answer.text().lines().map(|line| Ok(serde_json::from_str(line)?)).collect()
    }
}

pub(crate) fn chat_body(prompt: &str, max_tokens: u32) -> Value {
    json!({
        "model": MODEL,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": prompt }],
    })
}

/// The text of a whole chat completion.
pub(crate) fn chat_text(answer: &Value) -> Result<String> {
    let text = answer["choices"][0]["message"]["content"].as_str();
    Ok(text.ok_or_else(|| anyhow!("no content in {answer}"))?.to_string())
}

fn chat_call(body: &Value) -> Call {
    Call::new(Method::POST, "/v1/chat/completions").json(body)
}

/// Takes the data of the next whole event off the buffer.
fn take_event(buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        let end = buffer.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = buffer.drain(..=end).collect();
        let line = String::from_utf8_lossy(&line);
        if let Some(data) = line.strip_prefix("data:") {
            return Some(data.trim().to_string());
        }
    }
}
