//! The store on a file whose writes and syncs fail, and whose machine goes down within a write: what was acknowledged is
//! there afterwards, and nothing is acknowledged that is not.
#![cfg(feature = "cluster")]

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

use croftsill::control::state::Session;
use croftsill::ledger::store::{Batch, Disk, Loaded, Stable, StoreError};
use croftsill::ledger::types::{Entry, Hard};
use croftsill::replica::idempotency::{ClaimId, ClaimRecord, RequestName, Stage};
use croftsill::replica::share::UnsavedChanges;
use redb::StorageBackend;
use rustix::io::Errno;

/// Batches that are written, one after the other.
const BATCHES: u64 = 6;

/// A call that changes the file and is not synced yet.
#[derive(Clone, Debug)]
enum Change {
    Length(u64),
    Write(u64, Vec<u8>),
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Length(length) => bytes.resize(*length as usize, 0),
        Change::Write(at, data) => bytes[*at as usize..][..data.len()].copy_from_slice(data),
    }
}

/// What goes wrong at the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// From this call on, so many calls that change or sync the file fail. A sync that fails drops what it was to sync, as the
    /// system does: a later one finds nothing left to do and succeeds.
    Fails { from: usize, times: usize, with: Errno },
    /// From this call on syncs say that they are done and do nothing: no store can keep its promises there.
    Lies { from: usize },
    /// The machine goes down at this call: of what was not synced a part is there, the last write by half.
    Down { at: usize, keeps: usize },
}

/// A file, as the program sees it and as it would be after a crash.
#[derive(Debug, Default)]
struct FileState {
    seen: Vec<u8>,
    synced: Vec<u8>,
    pending: Vec<Change>,
    calls: usize,
    fault: Option<Fault>,
    /// The file after the crash.
    left: Option<Vec<u8>>,
}

#[derive(Clone, Debug, Default)]
struct FaultyFile(Arc<Mutex<FileState>>);

impl FaultyFile {
    fn holding(bytes: Vec<u8>) -> Self {
        let state = FileState { seen: bytes.clone(), synced: bytes, ..FileState::default() };
        FaultyFile(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, FileState> {
        self.0.lock().expect("no panic")
    }

    /// What the disk holds after the machine went down, or would hold if it did now.
    fn after_crash(&self) -> Vec<u8> {
        let state = self.state();
        state.left.clone().unwrap_or_else(|| state.synced.clone())
    }
}

impl FileState {
    /// Counts a call; an error where it is to fail.
    fn call(&mut self, change: Option<Change>) -> io::Result<()> {
        let number = self.calls;
        self.calls += 1;
        let gone = || io::Error::from_raw_os_error(Errno::IO.raw_os_error());
        if self.left.is_some() {
            return Err(gone());
        }
        match self.fault {
            Some(Fault::Fails { from, times, with }) if (from..from + times).contains(&number) => {
                if change.is_none() {
                    self.pending.clear();
                }
                return Err(io::Error::from_raw_os_error(with.raw_os_error()));
            }
            Some(Fault::Lies { from }) if number >= from && change.is_none() => {
                self.pending.clear();
                return Ok(());
            }
            Some(Fault::Down { at, keeps }) if at == number => {
                let mut left = self.synced.clone();
                let torn = change.map(|change| match change {
                    Change::Write(at, data) => Change::Write(at, data[..data.len() / 2].to_vec()),
                    length => length,
                });
                let pending = self.pending.iter().cloned().chain(torn);
                pending.take(keeps).for_each(|change| apply(&mut left, &change));
                self.left = Some(left);
                return Err(gone());
            }
            _ => {}
        }
        match change {
            Some(change) => {
                apply(&mut self.seen, &change);
                self.pending.push(change);
            }
            None => {
                for change in std::mem::take(&mut self.pending) {
                    apply(&mut self.synced, &change);
                }
            }
        }
        Ok(())
    }
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state().seen.len() as u64)
    }

    fn read(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        Ok(self.state().seen[offset as usize..][..length].to_vec())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.state().call(Some(Change::Length(length)))
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        self.state().call(None)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.state().call(Some(Change::Write(offset, data.to_vec())))
    }
}

fn open(file: &FaultyFile) -> Result<(Disk, Loaded), StoreError> {
    Disk::open_on(file.clone(), Path::new("ledger.redb"), "c", "a")
}

fn entry(index: u64) -> Entry {
    Entry { conf: false, term: 1, index, command: vec![index as u8; 100] }
}

fn named(number: u64) -> UnsavedChanges {
    let held = ClaimRecord {
        claim_id: ClaimId { session: Session(1), number },
        stage: Stage::Ran,
        last_heard_at: 0,
    };
    UnsavedChanges {
        claims: BTreeMap::from([(RequestName(number.into()), Some(held))]),
        ..UnsavedChanges::default()
    }
}

/// What of the batches was acknowledged.
#[derive(Debug, Default)]
struct Acknowledged {
    entries: Vec<u64>,
    names: Vec<u64>,
}

/// Writes all batches, a ledger's entry and a request's name in turn, whatever becomes of each.
fn write_all(disk: &mut Disk) -> Acknowledged {
    let state = disk.state();
    let mut acknowledged = Acknowledged::default();
    for number in 1..=BATCHES {
        let hard = Some(Hard { term: 1, vote: 1, commit: number - 1 });
        if disk.write(&Batch { entries: vec![entry(number)], hard, ..Batch::default() }).is_ok() {
            acknowledged.entries.push(number);
        }
        if state.write(&named(number)).is_ok() {
            acknowledged.names.push(number);
        }
    }
    acknowledged
}

/// Opens what the disk holds after a crash: all that was acknowledged is there, whole, and at most one batch more of each kind.
fn holds(file: &FaultyFile, acknowledged: &Acknowledged, case: &str) {
    let file = FaultyFile::holding(file.after_crash());
    let (disk, loaded) = open(&file).unwrap_or_else(|fault| panic!("{case}: {fault}"));
    let entries: Vec<_> = loaded.entries.iter().map(|entry| entry.index).collect();
    assert!(entries.starts_with(&acknowledged.entries), "{case}: {entries:?} of {acknowledged:?}");
    assert!(entries.len() <= acknowledged.entries.len() + 1, "{case}: {entries:?} of {acknowledged:?}");
    loaded.entries.iter().for_each(|kept| assert_eq!(kept, &entry(kept.index), "{case}"));
    let names = disk.state().load().expect("it is read").claims;
    let names: Vec<_> = names.iter().map(|(name, _)| name.0 as u64).collect();
    assert!(names.starts_with(&acknowledged.names), "{case}: {names:?} of {acknowledged:?}");
    assert!(names.len() <= acknowledged.names.len() + 1, "{case}: {names:?} of {acknowledged:?}");
}

/// A new store, and how many calls all batches make on it.
fn made() -> (Vec<u8>, usize) {
    let file = FaultyFile::default();
    drop(open(&file).expect("a new store"));
    let bytes = file.after_crash();
    let file = FaultyFile::holding(bytes.clone());
    let (mut disk, _) = open(&file).expect("the store");
    let opened = file.state().calls;
    assert_eq!(write_all(&mut disk).entries.len() as u64, BATCHES);
    let calls = file.state().calls - opened;
    (bytes, calls)
}

/// Opens a store whose file does as it should until it is open, and then has this fault, counted from there.
fn opened_with(bytes: &[u8], fault: Fault) -> (FaultyFile, Disk) {
    let file = FaultyFile::holding(bytes.to_vec());
    let (disk, _) = open(&file).expect("the store");
    let opened = file.state().calls;
    file.state().fault = Some(match fault {
        Fault::Fails { from, times, with } => Fault::Fails { from: opened + from, times, with },
        Fault::Lies { from } => Fault::Lies { from: opened + from },
        Fault::Down { at, keeps } => Fault::Down { at: opened + at, keeps },
    });
    (file, disk)
}

/// The check finds what is missing: on a disk that lies batches are acknowledged and gone.
#[test]
#[should_panic(expected = "Lies")]
fn a_disk_that_lies_is_found_out() {
    let (bytes, _) = made();
    let fault = Fault::Lies { from: 2 };
    let (file, mut disk) = opened_with(&bytes, fault);
    let acknowledged = write_all(&mut disk);
    holds(&file, &acknowledged, &format!("{fault:?}"));
}

/// Whichever call fails, and for however long: what was acknowledged before and after it outlasts a crash. A sync that failed
/// is not made again as though there were still something to sync.
#[test]
fn what_is_acknowledged_around_a_failing_call_is_there_after_a_crash() {
    let (bytes, calls) = made();
    let mut acknowledged_some = 0;
    for from in 0..calls {
        for (times, with) in
            [(1, Errno::IO), (1, Errno::NOSPC), (4, Errno::NOSPC), (usize::MAX / 2, Errno::IO)]
        {
            let fault = Fault::Fails { from, times, with };
            let (file, mut disk) = opened_with(&bytes, fault);
            let acknowledged = write_all(&mut disk);
            // Nothing that the closing store writes has been acknowledged.
            let crashed = FaultyFile::holding(file.after_crash());
            drop(disk);
            holds(&crashed, &acknowledged, &format!("{fault:?}"));
            acknowledged_some += usize::from(!acknowledged.entries.is_empty());
            let refused = 2 * BATCHES as usize - acknowledged.entries.len() - acknowledged.names.len();
            assert!(refused > 0, "{fault:?}: nobody was told");
        }
    }
    assert!(acknowledged_some > calls, "the faults come amid the batches");
}

/// The machine goes down at any call, with none, some or all of what was not synced on its disk, and one write by half.
#[test]
fn a_crash_within_any_write_leaves_what_was_acknowledged() {
    let (bytes, calls) = made();
    for at in 0..calls {
        for keeps in [0, 1, 2, 5, usize::MAX] {
            let fault = Fault::Down { at, keeps };
            let (file, mut disk) = opened_with(&bytes, fault);
            let acknowledged = write_all(&mut disk);
            drop(disk);
            holds(&file, &acknowledged, &format!("{fault:?}"));
        }
    }
}

/// A folder without room is one line at the start, and no store that is half made is taken for a whole one later.
#[test]
fn a_store_that_cannot_be_made_is_told_in_one_line_and_made_later() {
    let whole = FaultyFile::default();
    drop(open(&whole).expect("a new store"));
    let calls = whole.state().calls;
    for from in 0..calls {
        let file = FaultyFile::default();
        file.state().fault = Some(Fault::Fails { from, times: usize::MAX / 2, with: Errno::NOSPC });
        let told = open(&file).map(drop);
        if let Err(fault) = told {
            assert_eq!(fault.to_string().lines().count(), 1);
        }
        let again = FaultyFile::holding(file.after_crash());
        match open(&again) {
            Ok((_, loaded)) => assert!(loaded.entries.is_empty() && loaded.hard.is_none()),
            Err(fault) => assert_eq!(fault.to_string().lines().count(), 1, "{from}"),
        }
    }
}
