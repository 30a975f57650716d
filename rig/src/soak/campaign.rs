//! Many histories, some of them side by side.

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use super::history;

/// What came of one seed.
#[derive(Clone, Debug)]
pub struct Played {
    /// The seed.
    pub seed: u64,
    /// What was done and counted.
    pub told: Vec<String>,
    /// What breaks a rule.
    pub found: Vec<String>,
    /// What breaks a rule and is known to: see KNOWN-RED.txt.
    pub known: Vec<String>,
    /// Requests whose clients got a whole stream.
    pub served: usize,
    /// The machine was too busy for the findings to count.
    pub too_busy: bool,
    /// Where the files of a history with findings are.
    pub kept: Option<PathBuf>,
}

impl Played {
    /// Whether the history counts and breaks a rule.
    pub fn failed(&self) -> bool {
        !self.too_busy && !self.found.is_empty()
    }
}

/// Plays these seeds, so many at once; `tell` is called with each as it ends.
pub fn play(
    program: &Path, seeds: Range<u64>, at_once: usize, tell: impl Fn(&Played) + Sync,
) -> std::io::Result<Vec<Played>> {
    let (next, all, faults) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()), Mutex::new(None));
    std::thread::scope(|scope| {
        for _ in 0..at_once.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if !seeds.contains(&seed) {
                        return;
                    }
                    match play_one(program, seed) {
                        Ok(played) => {
                            tell(&played);
                            all.lock().expect("no panic").push(played);
                        }
                        Err(fault) => *faults.lock().expect("no panic") = Some(fault),
                    }
                }
            });
        }
    });
    match faults.into_inner().expect("no panic") {
        Some(fault) => Err(fault),
        None => Ok(all.into_inner().expect("no panic")),
    }
}

/// One history on a runtime of its own: what hangs in its broken network ends with that.
fn play_one(program: &Path, seed: u64) -> std::io::Result<Played> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let played = runtime.block_on(async {
        let (fleet, outcome) = history::play(program, seed).await?;
        let kept = (!outcome.found.is_empty()).then(|| fleet.keep());
        let history::Outcome { told, found, known, served, too_busy } = outcome;
        Ok(Played { seed, told, found, known, served, too_busy, kept })
    });
    runtime.shutdown_background();
    played
}
