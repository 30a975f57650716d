//! Lists as discovery sends them, read so that a bad entry costs nothing but itself. It does no I/O.

use std::collections::{BTreeMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};

use bytes::{Buf, BytesMut};
use serde_json::{Deserializer, Value};

use super::membership::{State, Target, Targets};

/// Longest list that is read: thousands of instances, indented.
pub const MOST: usize = 4 * 1024 * 1024;
/// Faults of one list that are worded.
const WORDED: usize = 3;

/// Why text is no list.
#[derive(Debug, thiserror::Error)]
pub enum Unreadable {
    /// It is no JSON.
    #[error("not a list: {0}")]
    Json(#[from] serde_json::Error),
    /// It is JSON of another form.
    #[error("not a list: no array of servers")]
    Form,
    /// It does not end.
    #[error("a list of over {MOST} bytes")]
    TooLong,
}

/// What is wrong inside a list that was read all the same.
#[derive(Debug, Default)]
pub struct Faults {
    worded: Vec<String>,
    more: usize,
}

impl Faults {
    fn note(&mut self, fault: String) {
        if self.worded.len() < WORDED { self.worded.push(fault) } else { self.more += 1 }
    }

    /// One line for the log, where there is anything to say.
    pub fn line(&self) -> Option<String> {
        let more = if self.more > 0 { format!("; {} more", self.more) } else { String::new() };
        (!self.worded.is_empty()).then(|| self.worded.join("; ") + &more)
    }
}

/// An entry as far as it can be used.
enum Entry {
    Good(Target),
    /// Its id is known and it may not be sent anything by what can be read of it.
    Doubtful(String),
    Useless,
}

fn entry(value: &Value, number: usize, faults: &mut Faults) -> Entry {
    let text = |key: &str| value.get(key).and_then(Value::as_str).filter(|text| !text.is_empty());
    let Some(id) = text("id").map(str::to_owned) else {
        faults.note(format!("entry {number} has no id, passed over"));
        return Entry::Useless;
    };
    let state = value.get("state").and_then(|state| serde_json::from_value(state.clone()).ok());
    let Some(state) = state else {
        faults.note(format!("{id} has an unknown state, taken to drain"));
        return Entry::Doubtful(id);
    };
    let addr = text("addr").and_then(|addr| addr.parse::<SocketAddr>().ok());
    let named = text("zone").zip(text("kind"));
    let (addr, (zone, kind)) = match (addr, named, state) {
        (Some(addr), Some(named), _) => (addr, named),
        // What is gone needs no address.
        (addr, named, State::Gone) => {
            (addr.unwrap_or((Ipv4Addr::UNSPECIFIED, 0).into()), named.unwrap_or_default())
        }
        (addr, ..) => {
            let what = if addr.is_none() { "address" } else { "zone or kind" };
            faults.note(format!("{id} has no {what} that can be read, taken to drain"));
            return Entry::Doubtful(id);
        }
    };
    let mut number = |key: &str| match value.get(key) {
        None | Some(Value::Null) => 0,
        Some(value) => value.as_f64().map_or_else(
            || {
                faults.note(format!("{id}: {key} is no number, left out"));
                0
            },
            |n| n as i64,
        ),
    };
    let (cell, started_ms) = (number("cell"), number("started_ms"));
    Entry::Good(Target { id, addr, zone: zone.into(), kind: kind.into(), cell, state, started_ms })
}

impl Targets {
    /// Reads a list; what is wrong with single entries is told beside it.
    pub fn read(value: &Value) -> Result<(Self, Faults), Unreadable> {
        let entries = value.get("servers").and_then(Value::as_array).ok_or(Unreadable::Form)?;
        let mut faults = Faults::default();
        let version = value.get("version").and_then(Value::as_u64);
        if version.is_none() {
            faults.note("a list without a version".into());
        }
        let full = value.get("full").and_then(Value::as_bool).unwrap_or(false);
        let mut list = Targets { version, full, ..Targets::default() };
        let mut places: BTreeMap<String, usize> = BTreeMap::new();
        for (number, value) in entries.iter().enumerate() {
            match entry(value, number, &mut faults) {
                Entry::Useless => {}
                Entry::Doubtful(id) => list.doubtful.push(id),
                Entry::Good(target) => match places.get(&target.id).map(|&place| &mut list.servers[place]) {
                    None => {
                        places.insert(target.id.clone(), list.servers.len());
                        list.servers.push(target);
                    }
                    // Which of them is true cannot be told: the one that asks for more care.
                    Some(twin) => {
                        faults.note(format!("{} is named twice", target.id));
                        if target.state >= twin.state {
                            *twin = target;
                        }
                    }
                },
            }
        }
        let doubtful: HashSet<&String> = list.doubtful.iter().collect();
        list.servers.retain(|target| target.state == State::Gone || !doubtful.contains(&target.id));
        Ok((list, faults))
    }

    /// The same from text.
    pub fn parse(text: &[u8]) -> Result<(Self, Faults), Unreadable> {
        Self::read(&serde_json::from_slice(text)?)
    }
}

/// Cuts a watch's bytes into lists, each on a line or indented over several.
#[derive(Default)]
pub struct Reader {
    text: BytesMut,
    /// As far as this nothing has ended.
    tried: usize,
}

impl Reader {
    /// Takes bytes in as they come.
    pub fn push(&mut self, part: &[u8]) {
        self.text.extend_from_slice(part);
    }

    /// The next list that has come whole. Text that is none is passed over up to the next line that begins one.
    pub fn list(&mut self) -> Option<Result<(Targets, Faults), Unreadable>> {
        let blank = self.text.iter().take_while(|b| b.is_ascii_whitespace()).count();
        self.text.advance(blank);
        self.tried = self.tried.saturating_sub(blank);
        if !self.may_have_ended() {
            return (self.text.len() > MOST).then(|| {
                self.text.clear();
                self.tried = 0;
                Err(Unreadable::TooLong)
            });
        }
        let mut values = Deserializer::from_slice(&self.text).into_iter::<Value>();
        let read = values.next();
        let (end, read) = match read {
            Some(Ok(value)) => (values.byte_offset(), Targets::read(&value)),
            Some(Err(fault)) if !fault.is_eof() => (self.following_line()?, Err(fault.into())),
            // An indented list has not come whole yet; or a line was cut short, and the next one is a list of its own.
            Some(Err(fault)) => {
                let end = self.following_line().filter(|&at| {
                    let line = self.text[at..].split(|&b| b == b'\n').next().unwrap_or_default();
                    serde_json::from_slice::<Value>(line).is_ok()
                });
                let Some(end) = end else {
                    self.tried = self.text.len();
                    return None;
                };
                (end, Err(fault.into()))
            }
            None => return None,
        };
        self.text.advance(end);
        self.tried = 0;
        Some(read)
    }

    /// Whether bytes not tried yet close an object at the end of a line.
    fn may_have_ended(&mut self) -> bool {
        let mut closed = self.text[..self.tried].trim_ascii_end().ends_with(b"}");
        for &byte in &self.text[self.tried..] {
            match byte {
                b'\n' if closed => return true,
                _ if byte.is_ascii_whitespace() => {}
                _ => closed = byte == b'}',
            }
        }
        // A line that closes nothing is none of an indented list unless the list goes on.
        let line_ended = self.text.contains(&b'\n') && self.text.first() != Some(&b'{');
        if !line_ended {
            self.tried = self.text.len();
        }
        line_ended
    }

    /// Where the next line begins that may be a list; the end of the last whole line where there is none.
    fn following_line(&self) -> Option<usize> {
        let ends = self.text.iter().enumerate().filter(|(_, b)| **b == b'\n').map(|(at, _)| at + 1);
        let mut last = None;
        for at in ends {
            if self.text.get(at) == Some(&b'{') {
                return Some(at);
            }
            last = Some(at);
        }
        last
    }
}

#[cfg(test)]
mod tests;
