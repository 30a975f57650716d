//! What the ledger keeps on disk: the log, a snapshot, votes. Each value has a checksum, each batch is flushed whole or
//! not at all.

use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use redb::{Database, DatabaseError, ReadableTable, StorageBackend, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

use super::types::{Entry, Hard, Snap, decode, encode};
use crate::control::state::Session;
use crate::replica::idempotency::{ClaimId, ClaimRecord, RequestName, Stage};
use crate::replica::share::{StoredState, UnsavedChanges};
use crate::replica::store::Key;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Shared state: items by key, and names of requests.
const ITEMS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("items");
const NAMES: TableDefinition<u128, &[u8]> = TableDefinition::new("names");
/// The form of what is kept; another one is turned down.
const FORM: u32 = 1;

/// Why nothing can be kept or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file or its pages are damaged or cannot be reached.
    #[error("store {0}: {1}")]
    File(PathBuf, String),
    /// It was made by another fleet.
    #[error("store {0}: belongs to the cluster \"{1}\", not to \"{2}\"")]
    Foreign(PathBuf, String, String),
    /// It was made for another conductor.
    #[error("store {0}: belongs to the conductor \"{1}\", not to \"{2}\"")]
    Other(PathBuf, String, String),
    /// Another version made it.
    #[error("store {0}: has form {1}, and this version reads form {FORM}")]
    Form(PathBuf, u32),
    /// A value does not fit its checksum or cannot be read.
    #[error("store {0}: {1} is damaged")]
    Damaged(PathBuf, String),
}

/// What is written together.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// A snapshot in place of the one before.
    pub snap: Option<Snap>,
    /// Entries; those kept from the first one's place on go.
    pub entries: Vec<Entry>,
    /// Term, vote and commit.
    pub hard: Option<Hard>,
    /// Entries before this place go.
    pub cut_before: Option<u64>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        let changes = self.snap.is_some() || self.hard.is_some();
        !changes && self.entries.is_empty() && self.cut_before.is_none()
    }
}

/// What a store held when it was opened.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// The last snapshot.
    pub snap: Option<Snap>,
    /// The entries behind it, perhaps some before.
    pub entries: Vec<Entry>,
    /// Term, vote and commit.
    pub hard: Option<Hard>,
}

/// Where a ledger keeps what it must not forget.
pub trait Stable {
    /// Keeps a batch; when this returns well it outlasts a crash.
    fn write(&mut self, batch: &Batch) -> Result<(), StoreError>;
}

/// A store on disk. It is locked while it is open.
pub struct Disk {
    path: PathBuf,
    db: Arc<Database>,
}

/// The part of the same store that holds shared state.
pub struct StateStore {
    path: PathBuf,
    db: Arc<Database>,
}

fn sealed(value: &impl Serialize) -> Vec<u8> {
    let bytes = encode(value);
    let mut sealed = xxh3_64(&bytes).to_le_bytes().to_vec();
    sealed.extend(bytes);
    sealed
}

fn unsealed<T: DeserializeOwned>(sealed: &[u8]) -> Option<T> {
    let (sum, bytes) = sealed.split_first_chunk::<8>()?;
    (u64::from_le_bytes(*sum) == xxh3_64(bytes)).then(|| decode(bytes).ok())?
}

impl Disk {
    /// Opens or makes the store of this conductor in this cluster, and checks all that it holds. The library panics over
    /// some damages: that is one line and an end here, as every other damage.
    pub fn open(path: &Path, cluster: &str, name: &str) -> Result<(Self, Loaded), StoreError> {
        Self::open_with(path, || Database::create(path), (cluster, name))
    }

    /// Opens or makes a store on another kind of file, which `path` names in what is said of it.
    pub fn open_on(
        file: impl StorageBackend, path: &Path, cluster: &str, name: &str,
    ) -> Result<(Self, Loaded), StoreError> {
        Self::open_with(path, || Database::builder().create_with_backend(file), (cluster, name))
    }

    fn open_with(
        path: &Path, database: impl FnOnce() -> Result<Database, DatabaseError>, of: (&str, &str),
    ) -> Result<(Self, Loaded), StoreError> {
        let (hook, shown) = (std::panic::take_hook(), path.display().to_string());
        std::panic::set_hook(Box::new(move |_| {
            if cfg!(panic = "abort") {
                eprintln!("croftsill: store {shown}: its file is damaged");
                std::process::exit(1);
            }
        }));
        let opened = std::panic::catch_unwind(AssertUnwindSafe(|| Self::open_file(path, database, of)));
        std::panic::set_hook(hook);
        opened.unwrap_or_else(|_| Err(StoreError::Damaged(path.into(), "its file".into())))
    }

    fn open_file(
        path: &Path, database: impl FnOnce() -> Result<Database, DatabaseError>,
        (cluster, name): (&str, &str),
    ) -> Result<(Self, Loaded), StoreError> {
        let file = |fault: &dyn std::fmt::Display| StoreError::File(path.into(), fault.to_string());
        let mut db = database().map_err(|e| file(&e))?;
        if !db.check_integrity().map_err(|e| file(&e))? {
            tracing::warn!("ledger: the store was not closed well and was mended");
        }
        let disk = Disk { path: path.into(), db: Arc::new(db) };
        let write = disk.db.begin_write().map_err(|e| file(&e))?;
        {
            let mut meta = write.open_table(META).map_err(|e| file(&e))?;
            write.open_table(LOG).map_err(|e| file(&e))?;
            write.open_table(ITEMS).map_err(|e| file(&e))?;
            write.open_table(NAMES).map_err(|e| file(&e))?;
            if meta.get("form").map_err(|e| file(&e))?.is_none() {
                for (key, value) in
                    [("form", sealed(&FORM)), ("cluster", sealed(&cluster)), ("name", sealed(&name))]
                {
                    meta.insert(key, value.as_slice()).map_err(|e| file(&e))?;
                }
            }
        }
        write.commit().map_err(|e| file(&e))?;
        let form: u32 = disk.meta("form")?.unwrap_or(0);
        if form != FORM {
            return Err(StoreError::Form(path.into(), form));
        }
        let of: String = disk.meta("cluster")?.unwrap_or_default();
        if of != cluster {
            return Err(StoreError::Foreign(path.into(), of, cluster.into()));
        }
        let of: String = disk.meta("name")?.unwrap_or_default();
        if of != name {
            return Err(StoreError::Other(path.into(), of, name.into()));
        }
        let loaded = Loaded { snap: disk.meta("snap")?, entries: disk.entries()?, hard: disk.meta("hard")? };
        Ok((disk, loaded))
    }

    /// The part that holds shared state.
    pub fn state(&self) -> StateStore {
        StateStore { path: self.path.clone(), db: self.db.clone() }
    }

    fn file(&self, fault: impl std::fmt::Display) -> StoreError {
        StoreError::File(self.path.clone(), fault.to_string())
    }

    fn meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, StoreError> {
        let read = self.db.begin_read().map_err(|e| self.file(e))?;
        let table = read.open_table(META).map_err(|e| self.file(e))?;
        let Some(value) = table.get(key).map_err(|e| self.file(e))? else { return Ok(None) };
        let value =
            unsealed(value.value()).ok_or_else(|| StoreError::Damaged(self.path.clone(), key.into()))?;
        Ok(Some(value))
    }

    fn entries(&self) -> Result<Vec<Entry>, StoreError> {
        let read = self.db.begin_read().map_err(|e| self.file(e))?;
        let table = read.open_table(LOG).map_err(|e| self.file(e))?;
        let mut entries: Vec<Entry> = Vec::new();
        for row in table.iter().map_err(|e| self.file(e))? {
            let (index, value) = row.map_err(|e| self.file(e))?;
            let index = index.value();
            let fits =
                |e: &Entry| e.index == index && entries.last().is_none_or(|before| before.index + 1 == index);
            let entry = unsealed(value.value()).filter(fits);
            entries
                .push(entry.ok_or_else(|| StoreError::Damaged(self.path.clone(), format!("entry {index}")))?);
        }
        Ok(entries)
    }

    fn commit(&self, batch: &Batch) -> Result<(), Box<redb::Error>> {
        self.change(batch).map_err(Box::new)
    }

    #[allow(clippy::result_large_err)] // the library's own error; boxed where it goes on
    fn change(&self, batch: &Batch) -> Result<(), redb::Error> {
        let write = self.db.begin_write()?;
        {
            let (mut meta, mut log) = (write.open_table(META)?, write.open_table(LOG)?);
            if let Some(snap) = &batch.snap {
                meta.insert("snap", sealed(snap).as_slice())?;
                log.retain_in(..=snap.index, |_, _| false)?;
                if batch.cut_before.is_none() {
                    // Another's: what is kept behind it may not go on from it.
                    log.retain(|_, _| false)?;
                }
            }
            if let Some(first) = batch.entries.first() {
                log.retain_in(first.index.., |_, _| false)?;
            }
            for entry in &batch.entries {
                log.insert(entry.index, sealed(entry).as_slice())?;
            }
            if let Some(hard) = &batch.hard {
                meta.insert("hard", sealed(hard).as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

impl StateStore {
    /// What it holds. Damaged items are left out and told: others have them. A damaged name counts as one that may have
    /// run, as that is what keeping it is for.
    pub fn load(&self) -> Result<StoredState, StoreError> {
        self.read().map_err(|fault| StoreError::File(self.path.clone(), fault.to_string()))
    }

    #[allow(clippy::result_large_err)] // the library's own error; made ours where it goes on
    fn read(&self) -> Result<StoredState, redb::Error> {
        let told = |what: &dyn std::fmt::Debug| {
            tracing::error!("state: {what:?} is damaged in the store and is taken from others");
        };
        let read = self.db.begin_read()?;
        let mut kept = StoredState::default();
        for row in read.open_table(ITEMS)?.iter()? {
            let (key, value) = row?;
            let item = decode::<Key>(key.value()).ok().zip(unsealed(value.value()));
            match item {
                Some(item) => kept.items.push(item),
                None => told(&decode::<Key>(key.value())),
            }
        }
        for row in read.open_table(NAMES)?.iter()? {
            let (name, value) = row?;
            let unknown = || {
                told(&name.value());
                ClaimRecord {
                    claim_id: ClaimId { session: Session(0), number: 0 },
                    stage: Stage::MayHaveRun,
                    last_heard_at: 0,
                }
            };
            kept.claims.push((RequestName(name.value()), unsealed(value.value()).unwrap_or_else(unknown)));
        }
        let reached = read.open_table(META)?.get("reached")?;
        kept.sync_progress = reached.and_then(|value| unsealed(value.value()));
        Ok(kept)
    }

    /// Keeps all of it or nothing; when this returns well it outlasts a crash.
    pub fn write(&self, unsaved: &UnsavedChanges) -> Result<(), StoreError> {
        self.change(unsaved).map_err(|fault| StoreError::File(self.path.clone(), fault.to_string()))
    }

    #[allow(clippy::result_large_err)] // the library's own error; made ours where it goes on
    fn change(&self, unsaved: &UnsavedChanges) -> Result<(), redb::Error> {
        let write = self.db.begin_write()?;
        {
            let mut items = write.open_table(ITEMS)?;
            for (key, value) in &unsaved.items {
                match value {
                    Some(value) => drop(items.insert(encode(key).as_slice(), sealed(value).as_slice())?),
                    None => drop(items.remove(encode(key).as_slice())?),
                }
            }
            let mut names = write.open_table(NAMES)?;
            for (name, held) in &unsaved.claims {
                match held {
                    Some(held) => drop(names.insert(name.0, sealed(held).as_slice())?),
                    None => drop(names.remove(name.0)?),
                }
            }
            if let Some(reached) = &unsaved.sync_progress {
                write.open_table(META)?.insert("reached", sealed(reached).as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

impl Stable for Disk {
    fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if batch.is_empty() {
            return Ok(());
        }
        self.commit(batch).map_err(|fault| self.file(fault))
    }
}
