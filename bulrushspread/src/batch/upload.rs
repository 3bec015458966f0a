//! Takes an uploaded file in: cuts it into chunks of whole lines and checks each line.

use std::collections::BTreeSet;

use serde::Deserialize;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_128;

use crate::id::Model;

use super::{Settings, files::Line};

/// A chunk of whole lines, ready to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    pub data: Vec<u8>,
    pub lines: u32,
}

/// What was found in a whole file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    pub bytes: u64,
    pub items: u32,
    /// SHA-256 of the content.
    pub digest: String,
    /// The first reason why no job can be made of the file.
    pub fault: Option<String>,
    pub url: Option<String>,
    pub model: Option<Model>,
}

/// Cuts and checks one file. Holds at most one chunk and one line of it.
#[derive(Debug)]
pub struct Cutter {
    settings: Settings,
    /// The start of a line whose end has not arrived.
    partial: Vec<u8>,
    chunk: Chunk,
    bytes: u64,
    items: u32,
    digest: Sha256,
    fault: Option<String>,
    url: Option<String>,
    model: Option<Model>,
    /// Hashes of the `custom_id`s.
    ids: BTreeSet<u128>,
}

/// The part of a body that is looked at.
#[derive(Deserialize)]
struct Body {
    model: Option<String>,
}

impl Cutter {
    pub fn new(settings: Settings) -> Cutter {
        Cutter {
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

    /// Takes the next piece of the file and returns the chunks that are full.
    pub fn push(&mut self, piece: &[u8]) -> Vec<Chunk> {
        self.bytes += piece.len() as u64;
        self.digest.update(piece);
        let mut chunks = Vec::new();
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            self.append(part);
            if part.ends_with(b"\n") {
                chunks.extend(self.end_line());
            }
        }
        chunks
    }

    /// Ends the file.
    pub fn finish(mut self) -> (Vec<Chunk>, Summary) {
        let mut chunks: Vec<Chunk> = self.end_line().into_iter().collect();
        if self.chunk.lines > 0 {
            chunks.push(self.take_chunk());
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

    /// Adds to the line, keeping no more of it than it may have.
    fn append(&mut self, part: &[u8]) {
        let room = self.settings.line_bytes.saturating_sub(self.partial.len());
        if part.len() > room {
            let line = self.items + 1;
            let limit = self.settings.line_bytes;
            self.note(format!("line {line} has more than {limit} bytes"));
        }
        self.partial.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn end_line(&mut self) -> Option<Chunk> {
        let line = std::mem::take(&mut self.partial);
        let line = line.trim_ascii();
        if line.is_empty() {
            return None;
        }
        if self.items >= self.settings.items_per_job {
            let limit = self.settings.items_per_job;
            self.note(format!("the file has more than {limit} items"));
            return None;
        }
        self.items += 1;
        if let Err(fault) = self.check(line) {
            let number = self.items;
            self.note(format!("line {number}: {fault}"));
        }
        let full = self.chunk.data.len() + line.len() > self.settings.chunk_bytes;
        let chunk = (full && self.chunk.lines > 0).then(|| self.take_chunk());
        self.chunk.data.extend_from_slice(line);
        self.chunk.data.push(b'\n');
        self.chunk.lines += 1;
        chunk
    }

    fn take_chunk(&mut self) -> Chunk {
        std::mem::replace(&mut self.chunk, Chunk { data: Vec::new(), lines: 0 })
    }

    fn note(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }

    fn check(&mut self, line: &[u8]) -> Result<(), String> {
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
        let model = self.wanted_model(&line.url, body.model)?;
        self.compare(line.url, model)
    }

    fn wanted_model(&self, url: &str, model: Option<String>) -> Result<Option<Model>, String> {
        if url.starts_with("/services/") {
            return Ok(None);
        }
        match model {
            Some(model) => Ok(Some(Model(model))),
            None => Err("body names no model".to_string()),
        }
    }

    /// All items of a file have one path and one model.
    fn compare(&mut self, url: String, model: Option<Model>) -> Result<(), String> {
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
