//! Splits an uploaded file into chunks of whole lines and validates each line.

use std::collections::BTreeSet;

use serde::Deserialize;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_128;

use crate::id::Model;

use super::{Settings, files::Line};

/// A chunk of whole lines, as it is stored in one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    pub data: Vec<u8>,
    pub lines: u32,
}

/// Properties of a complete file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    pub bytes: u64,
    pub items: u32,
    /// SHA-256 of the content.
    pub digest: String,
    /// The first reason why no job can be created from the file, if there is any.
    pub fault: Option<String>,
    pub url: Option<String>,
    pub model: Option<Model>,
}

/// Splits and validates one file. Buffers at most one chunk and one line of it.
#[derive(Debug)]
pub struct Chunker {
    settings: Settings,
    /// The beginning of a line whose end has not arrived yet.
    partial: Vec<u8>,
    chunk: Chunk,
    bytes: u64,
    items: u32,
    digest: Sha256,
    fault: Option<String>,
    url: Option<String>,
    model: Option<Model>,
    /// Hashes of the `custom_id`s so far, to detect duplicates.
    ids: BTreeSet<u128>,
}

/// The part of an item's body that is validated.
#[derive(Deserialize)]
struct Body {
    model: Option<String>,
}

impl Chunker {
    pub fn new(settings: Settings) -> Chunker {
        Chunker {
            settings,
            partial: Vec::new(),
            chunk: Chunk { data: Vec::new(), lines: 0 },
            bytes: 0,
            items: 0,
            digest: Sha256::new(),
            fault: None,
            url: None,
            model: None,
            ids: BTreeSet::new(),
        }
    }

    /// Appends the next piece of the file and returns the chunks that this completes.
    pub fn push(&mut self, piece: &[u8]) -> Vec<Chunk> {
        self.bytes += piece.len() as u64;
        self.digest.update(piece);
        let mut chunks = Vec::new();
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            self.append_to_line(part);
            if part.ends_with(b"\n") {
                chunks.extend(self.end_line());
            }
        }
        chunks
    }

    /// Ends the file. Returns the remaining chunks and the summary.
    pub fn finish(mut self) -> (Vec<Chunk>, Summary) {
        let mut chunks: Vec<Chunk> = self.end_line().into_iter().collect();
        if self.chunk.lines > 0 {
            chunks.push(self.replace_chunk());
        }
        if self.items == 0 && self.fault.is_none() {
            self.fault = Some("the file has no items".to_string());
        }
        let summary = Summary {
            bytes: self.bytes,
            items: self.items,
            digest: hex::encode(self.digest.finalize()),
            fault: self.fault,
            url: self.url,
            model: self.model,
        };
        (chunks, summary)
    }

    /// Appends to the current line, truncating it to `line_bytes`.
    fn append_to_line(&mut self, part: &[u8]) {
        let remaining = self.settings.line_bytes.saturating_sub(self.partial.len());
        if part.len() > remaining {
            let line = self.items + 1;
            let limit = self.settings.line_bytes;
            self.record_fault(format!("line {line} has more than {limit} bytes"));
        }
        self.partial.extend_from_slice(&part[..part.len().min(remaining)]);
    }

    fn end_line(&mut self) -> Option<Chunk> {
        let line = std::mem::take(&mut self.partial);
        let line = line.trim_ascii();
        if line.is_empty() {
            return None;
        }
        if self.items >= self.settings.items_per_job {
            let limit = self.settings.items_per_job;
            self.record_fault(format!("the file has more than {limit} items"));
            return None;
        }
        self.items += 1;
        if let Err(fault) = self.check_line(line) {
            let number = self.items;
            self.record_fault(format!("line {number}: {fault}"));
        }
        let full = self.chunk.data.len() + line.len() > self.settings.chunk_bytes;
        let chunk = (full && self.chunk.lines > 0).then(|| self.replace_chunk());
        self.chunk.data.extend_from_slice(line);
        self.chunk.data.push(b'\n');
        self.chunk.lines += 1;
        chunk
    }

    fn replace_chunk(&mut self) -> Chunk {
        std::mem::replace(&mut self.chunk, Chunk { data: Vec::new(), lines: 0 })
    }

    fn record_fault(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }

    fn check_line(&mut self, line: &[u8]) -> Result<(), String> {
        let line: Line =
            serde_json::from_slice(line).map_err(|error| format!("not a valid item: {error}"))?;
        if line.custom_id.is_empty() {
            return Err("custom_id is empty".to_string());
        }
        if !self.ids.insert(xxh3_128(line.custom_id.as_bytes())) {
            return Err(format!("custom_id {:?} stands twice", line.custom_id));
        }
        if line.method.as_deref().is_some_and(|method| method != "POST") {
            return Err("method must be POST".to_string());
        }
        let body: Body = serde_json::from_str(line.body.get())
            .map_err(|error| format!("body is not an object: {error}"))?;
        let model = self.required_model(&line.url, body.model)?;
        self.check_consistency(line.url, model)
    }

    fn required_model(&self, url: &str, model: Option<String>) -> Result<Option<Model>, String> {
        if url.starts_with("/services/") {
            return Ok(None);
        }
        match model {
            Some(model) => Ok(Some(Model(model))),
            None => Err("body names no model".to_string()),
        }
    }

    /// Checks that the item has the same path and model as the file's first.
    fn check_consistency(&mut self, url: String, model: Option<Model>) -> Result<(), String> {
        match &self.url {
            None => {
                self.url = Some(url);
                self.model = model;
                Ok(())
            }
            Some(first) if *first != url => Err(format!("url differs from {first:?}")),
            Some(_) if self.model != model => {
                Err("model differs from the first line's".to_string())
            }
            Some(_) => Ok(()),
        }
    }
}
