//! Structured logging: one JSON object per line.
//!
//! Lines are appended to a bounded buffer that a dedicated thread writes to the output. While the
//! buffer is full, lines are dropped and counted, so that a blocked output never blocks the
//! process.

use std::{
    collections::BTreeMap,
    io::Write,
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use log::kv::{Key, Value, VisitSource};

/// Size limit of the buffer, which holds some seconds of log lines under full load.
const MAX_BUFFER_BYTES: usize = 256 << 10;

/// Installs the logger of the process, which writes to `output`.
///
/// # Errors
///
/// Fails if a logger has already been installed.
pub fn init(
    level: log::LevelFilter,
    output: impl Write + Send + 'static,
) -> Result<(), log::SetLoggerError> {
    let buffer = Arc::new(Buffer::default());
    let writer_buffer = Arc::clone(&buffer);
    std::thread::spawn(move || write_lines(&writer_buffer, output));
    log::set_boxed_logger(Box::new(Logger { buffer }))?;
    log::set_max_level(level);
    Ok(())
}

#[derive(Default)]
struct Buffer {
    pending: Mutex<Pending>,
    not_empty: Condvar,
}

#[derive(Default)]
struct Pending {
    bytes: Vec<u8>,
    /// Number of lines dropped since the bytes were last taken.
    dropped: u64,
}

impl Buffer {
    /// Appends a line, or drops and counts it if the buffer is full.
    fn push(&self, line: &[u8]) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + line.len() > MAX_BUFFER_BYTES {
            pending.dropped += 1;
            return;
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        drop(pending);
        if was_empty {
            self.not_empty.notify_one();
        }
    }

    /// Waits for lines and takes all of them. If lines were dropped, one more line says how many.
    fn take(&self) -> Vec<u8> {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let mut pending = self
            .not_empty
            .wait_while(pending, |pending| pending.bytes.is_empty())
            .unwrap_or_else(PoisonError::into_inner);
        let mut bytes = std::mem::take(&mut pending.bytes);
        let dropped = std::mem::take(&mut pending.dropped);
        drop(pending);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }
}

fn write_lines(buffer: &Buffer, mut output: impl Write) {
    loop {
        let bytes = buffer.take();
        // There is no other output to which a write error could be reported.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }
}

struct Logger {
    buffer: Arc<Buffer>,
}

impl log::Log for Logger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            self.buffer.push(&format_record(record));
        }
    }

    fn flush(&self) {}
}

/// Formats a record as a line of JSON: time, level, message and its key-value pairs.
fn format_record(record: &log::Record<'_>) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields::default();
    // `visit_pair` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    let mut object = serde_json::Map::new();
    object.insert("time_ms".to_string(), (now.as_millis() as u64).into());
    object.insert("level".to_string(), record.level().as_str().to_lowercase().into());
    object.insert("message".to_string(), record.args().to_string().into());
    object.extend(fields.0);
    let mut bytes = serde_json::Value::Object(object).to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

#[derive(Default)]
struct Fields(BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_i64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (None, _, Some(flag)) => flag.into(),
            (None, Some(number), _) => number.into(),
            (None, None, None) => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
