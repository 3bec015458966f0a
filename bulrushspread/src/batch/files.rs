//! Reads items of input files from the log and caches recently read chunks in memory.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
};

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    error::{Error, Kind, Result},
    id::{File, Item, Offset, Partition},
    node::Shared,
};

use super::record::{self, FilesRecord, files_stream, partition_of};

/// Maximum number of file indexes kept in memory.
const INDEX_CACHE_LIMIT: usize = 256;

/// One line of an input file.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    pub custom_id: String,
    #[serde(default)]
    pub method: Option<String>,
    pub url: String,
    /// The JSON body, byte for byte as the caller wrote it.
    pub body: Box<RawValue>,
}

/// Recently read chunks and indexes. Shared by all partitions of the node.
#[derive(Default)]
pub struct Cache {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    indexes: BTreeMap<File, Arc<Index>>,
    chunks: BTreeMap<(File, Offset), Arc<Vec<u8>>>,
    /// The keys of `chunks` in the order of insertion, for eviction.
    order: VecDeque<(File, Offset)>,
    /// Total size of `chunks` in bytes.
    bytes: usize,
}

/// The offsets of the chunks of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Index {
    /// The number of the first line of each chunk, from zero, and the chunk's offset.
    pub(crate) chunks: Vec<(u32, Offset)>,
}

impl Index {
    /// The first line and the offset of the chunk that contains `line`.
    fn find_chunk(&self, line: u32) -> Option<(u32, Offset)> {
        let after = self.chunks.partition_point(|(first, _)| *first <= line);
        self.chunks.get(after.checked_sub(1)?).copied()
    }
}

/// Reads the line of an item.
pub(crate) async fn read_line(context: &Shared, file: &File, item: Item) -> Result<Line> {
    let index = read_index(context, file).await?;
    let not_found = || Error::new(Kind::Internal, format!("{file} has no line {item}"));
    let (first, offset) = index.find_chunk(item.0).ok_or_else(not_found)?;
    let chunk = read_chunk(context, file, offset).await?;
    let line = chunk.split(|byte| *byte == b'\n').nth((item.0 - first) as usize);
    serde_json::from_slice(line.ok_or_else(not_found)?)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))
}

/// Reads the index of a file.
pub(crate) async fn read_index(context: &Shared, file: &File) -> Result<Arc<Index>> {
    let cache = &context.batch.owner.files;
    if let Some(index) = cache.state.lock().unwrap().indexes.get(file) {
        return Ok(index.clone());
    }
    let position = {
        let jobs = context.batch.owner.directory.state();
        let file_state =
            jobs.file(file).ok_or_else(|| Error::new(Kind::NotFound, "no such file"))?;
        file_state.created.index
    };
    for record in read_records(context, file, position.offset).await? {
        if let FilesRecord::Index { file: of, offsets, lines } = record
            && of == *file
        {
            let index = Arc::new(build_index(&offsets, &lines));
            cache.insert_index(file, &index);
            return Ok(index);
        }
    }
    Err(Error::new(Kind::Internal, format!("{file} has no index")))
}

/// Reads the lines of one chunk.
pub(crate) async fn read_chunk(
    context: &Shared,
    file: &File,
    offset: Offset,
) -> Result<Arc<Vec<u8>>> {
    let cache = &context.batch.owner.files;
    let key = (file.clone(), offset);
    if let Some(chunk) = cache.state.lock().unwrap().chunks.get(&key) {
        return Ok(chunk.clone());
    }
    for record in read_records(context, file, offset).await? {
        if let FilesRecord::Chunk { file: of, data } = record
            && of == *file
        {
            let chunk = Arc::new(data);
            cache.insert_chunk(key, &chunk, context.settings.batch.cache_bytes);
            return Ok(chunk);
        }
    }
    Err(Error::new(Kind::Internal, format!("{file} has no chunk at {offset}")))
}

/// The partition of a file, for the number of partitions in this node's settings.
pub(crate) fn partition(context: &Shared, file: &File) -> Partition {
    partition_of(file, context.settings.batch.partitions)
}

async fn read_records(context: &Shared, file: &File, offset: Offset) -> Result<Vec<FilesRecord>> {
    let stream = files_stream(&context.settings.environment, partition(context, file));
    let entries = context.journal.read_at(&stream, offset).await?;
    let records = entries.iter().filter_map(|entry| record::decode(&entry.record.body).ok());
    Ok(records.collect())
}

fn build_index(offsets: &record::Offsets, lines: &[u32]) -> Index {
    let firsts = lines.iter().scan(0, |next, lines| {
        let first = *next;
        *next += lines;
        Some(first)
    });
    Index { chunks: firsts.zip(offsets.iter()).collect() }
}

impl Cache {
    fn insert_index(&self, file: &File, index: &Arc<Index>) {
        let mut state = self.state.lock().unwrap();
        if state.indexes.len() >= INDEX_CACHE_LIMIT {
            state.indexes.pop_first();
        }
        state.indexes.insert(file.clone(), index.clone());
    }

    fn insert_chunk(&self, key: (File, Offset), chunk: &Arc<Vec<u8>>, limit: usize) {
        let mut state = self.state.lock().unwrap();
        if state.chunks.insert(key.clone(), chunk.clone()).is_none() {
            state.bytes += chunk.len();
            state.order.push_back(key);
        }
        while state.bytes > limit && state.order.len() > 1 {
            let Some(oldest) = state.order.pop_front() else { return };
            let dropped = state.chunks.remove(&oldest).map_or(0, |chunk| chunk.len());
            state.bytes -= dropped;
        }
    }
}
