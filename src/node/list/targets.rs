//! The parser of discovery's lists. An invalid entry does not affect the other entries of its list. It does no I/O.

use std::collections::{BTreeMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};

use bytes::{Buf, BytesMut};
use serde_json::{Deserializer, Value};

use super::membership::{Target, TargetList, TargetState};

/// Longest list that is accepted, which holds thousands of instances in indented JSON.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Number of faults of one list that are described in the log; the others are only counted.
const MAX_DESCRIBED_FAULTS: usize = 3;

/// Why text cannot be parsed as a list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The text is not valid JSON.
    #[error("invalid list: {0}")]
    Json(#[from] serde_json::Error),
    /// The JSON value has no array of servers.
    #[error("invalid list: no \"servers\" array")]
    NoServers,
    /// The text is longer than [`MAX_LIST_BYTES`].
    #[error("a list of over {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// The faults found in a list that was parsed nevertheless.
#[derive(Debug, Default)]
pub struct EntryFaults {
    described: Vec<String>,
    omitted_count: usize,
}

impl EntryFaults {
    fn add(&mut self, fault: String) {
        if self.described.len() < MAX_DESCRIBED_FAULTS {
            self.described.push(fault)
        } else {
            self.omitted_count += 1
        }
    }

    /// Returns one line for the log, or none without faults.
    pub fn summary(&self) -> Option<String> {
        let omitted =
            if self.omitted_count > 0 { format!("; {} more", self.omitted_count) } else { String::new() };
        (!self.described.is_empty()).then(|| self.described.join("; ") + &omitted)
    }
}

/// The result of parsing one entry.
enum Entry {
    /// The entry can be used.
    Valid(Target),
    /// The entry has this id, but its other fields do not allow sending work to the instance.
    Unreadable(String),
    /// The entry has no id.
    Unidentified,
}

fn parse_entry(value: &Value, index: usize, faults: &mut EntryFaults) -> Entry {
    let text = |key: &str| value.get(key).and_then(Value::as_str).filter(|text| !text.is_empty());
    let Some(id) = text("id").map(str::to_owned) else {
        faults.add(format!("entry {index} has no id; ignored"));
        return Entry::Unidentified;
    };
    let state = value.get("state").and_then(|state| serde_json::from_value(state.clone()).ok());
    let Some(state) = state else {
        faults.add(format!("{id} has an unknown state; draining it"));
        return Entry::Unreadable(id);
    };
    let addr = text("addr").and_then(|addr| addr.parse::<SocketAddr>().ok());
    let zone_and_kind = text("zone").zip(text("kind"));
    let (addr, (zone, kind)) = match (addr, zone_and_kind, state) {
        (Some(addr), Some(zone_and_kind), _) => (addr, zone_and_kind),
        // An instance that is gone needs no address.
        (addr, zone_and_kind, TargetState::Gone) => {
            (addr.unwrap_or((Ipv4Addr::UNSPECIFIED, 0).into()), zone_and_kind.unwrap_or_default())
        }
        (addr, ..) => {
            let field = if addr.is_none() { "address" } else { "zone or kind" };
            faults.add(format!("{id} has no valid {field}; draining it"));
            return Entry::Unreadable(id);
        }
    };
    let mut number = |key: &str| match value.get(key) {
        None | Some(Value::Null) => 0,
        Some(value) => value.as_f64().map_or_else(
            || {
                faults.add(format!("{id}: {key} is not a number; ignored"));
                0
            },
            |n| n as i64,
        ),
    };
    let (cell, started_ms) = (number("cell"), number("started_ms"));
    Entry::Valid(Target { id, addr, zone: zone.into(), kind: kind.into(), cell, state, started_ms })
}

impl TargetList {
    /// Reads a list from JSON, and returns it with the faults of its entries.
    pub fn from_json(value: &Value) -> Result<(Self, EntryFaults), ListError> {
        let entries = value.get("servers").and_then(Value::as_array).ok_or(ListError::NoServers)?;
        let mut faults = EntryFaults::default();
        let version = value.get("version").and_then(Value::as_u64);
        if version.is_none() {
            faults.add("the list has no version".into());
        }
        let full = value.get("full").and_then(Value::as_bool).unwrap_or(false);
        let mut list = TargetList { version, full, ..TargetList::default() };
        let mut positions: BTreeMap<String, usize> = BTreeMap::new();
        for (index, value) in entries.iter().enumerate() {
            match parse_entry(value, index, &mut faults) {
                Entry::Unidentified => {}
                Entry::Unreadable(id) => list.unreadable_ids.push(id),
                Entry::Valid(target) => {
                    match positions.get(&target.id).map(|&position| &mut list.servers[position]) {
                        None => {
                            positions.insert(target.id.clone(), list.servers.len());
                            list.servers.push(target);
                        }
                        // Nothing shows which of the two entries is right, so the more restrictive state applies.
                        Some(duplicate) => {
                            faults.add(format!("{} is named twice", target.id));
                            if target.state >= duplicate.state {
                                *duplicate = target;
                            }
                        }
                    }
                }
            }
        }
        let unreadable: HashSet<&String> = list.unreadable_ids.iter().collect();
        list.servers.retain(|target| target.state == TargetState::Gone || !unreadable.contains(&target.id));
        Ok((list, faults))
    }

    /// Parses a list from JSON text, and returns it with the faults of its entries.
    pub fn parse(text: &[u8]) -> Result<(Self, EntryFaults), ListError> {
        Self::from_json(&serde_json::from_slice(text)?)
    }
}

/// Decodes the bytes of a watch into lists, each on one line or indented over several.
#[derive(Default)]
pub struct ListDecoder {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that are known to contain no complete list.
    scanned_bytes: usize,
}

impl ListDecoder {
    /// Adds received bytes to the buffer.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns the next complete list. Text that is not a list gives an error and is skipped up to the next line that may start a
    /// list.
    pub fn next_list(&mut self) -> Option<Result<(TargetList, EntryFaults), ListError>> {
        let blank = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
        self.buffer.advance(blank);
        self.scanned_bytes = self.scanned_bytes.saturating_sub(blank);
        if !self.may_be_complete() {
            return (self.buffer.len() > MAX_LIST_BYTES).then(|| {
                self.buffer.clear();
                self.scanned_bytes = 0;
                Err(ListError::TooLong)
            });
        }
        let mut values = Deserializer::from_slice(&self.buffer).into_iter::<Value>();
        let value = values.next();
        let (end, parsed) = match value {
            Some(Ok(value)) => (values.byte_offset(), TargetList::from_json(&value)),
            Some(Err(error)) if !error.is_eof() => (self.next_line_start()?, Err(error.into())),
            // Either a list over several lines is still incomplete, or a line was cut short and the next line is a list of its own.
            // An entry of an incomplete list may stand on a line of its own, too.
            Some(Err(error)) => {
                let end = self.next_line_start().filter(|&start| {
                    let line = self.buffer[start..].split(|&b| b == b'\n').next().unwrap_or_default();
                    TargetList::parse(line).is_ok()
                });
                let Some(end) = end else {
                    self.scanned_bytes = self.buffer.len();
                    return None;
                };
                (end, Err(error.into()))
            }
            None => return None,
        };
        self.buffer.advance(end);
        self.scanned_bytes = 0;
        Some(parsed)
    }

    /// Returns whether the bytes not scanned yet close an object at the end of a line.
    fn may_be_complete(&mut self) -> bool {
        let mut is_closed = self.buffer[..self.scanned_bytes].trim_ascii_end().ends_with(b"}");
        for &byte in &self.buffer[self.scanned_bytes..] {
            match byte {
                b'\n' if is_closed => return true,
                _ if byte.is_ascii_whitespace() => {}
                _ => is_closed = byte == b'}',
            }
        }
        // A complete line that closes no object belongs to an indented list only if the buffer starts with an object.
        let is_invalid_line = self.buffer.contains(&b'\n') && self.buffer.first() != Some(&b'{');
        if !is_invalid_line {
            self.scanned_bytes = self.buffer.len();
        }
        is_invalid_line
    }

    /// Returns where the next line starts that may be a list, or else the end of the last complete line.
    fn next_line_start(&self) -> Option<usize> {
        let starts = self.buffer.iter().enumerate().filter(|(_, b)| **b == b'\n').map(|(at, _)| at + 1);
        let mut last_start = None;
        for start in starts {
            if self.buffer.get(start) == Some(&b'{') {
                return Some(start);
            }
            last_start = Some(start);
        }
        last_start
    }
}

#[cfg(test)]
mod tests;
