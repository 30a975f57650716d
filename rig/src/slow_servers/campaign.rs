//! All ways of being slow, at all places and on all fronts.

use std::path::{Path, PathBuf};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use tokio::task::JoinSet;

use super::client::Front;
use super::play::{CLASSES, Play, Report, SlowServers};
use super::script::Slowness;
use super::server::Manner;
use super::spoilt::{self, Spoil, Stage};
use super::unusual;
use crate::stand_ins::Role;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A prompt near the largest that a body may have, and a short one.
const LARGE_PROMPT_BYTES: usize = 250_000;
const SHORT_PROMPT_BYTES: usize = 200;
/// How long clients wait for a first event.
const PATIENCE: [Duration; 2] = [ms(1_500), ms(4_000)];
/// Bytes of a first event that comes slowly: one that the program holds until its end, and a longer one.
const FIRST_EVENT_BYTES: [usize; 2] = [600, 20_000];

/// Ways of being slow that every role and front knows.
const ANY_ANSWER: [Slowness; 5] = [
    Slowness::BeforeHead(ms(900)),
    Slowness::BeforeHead(ms(20_000)),
    Slowness::WithinHead(ms(10)),
    Slowness::WithinHead(ms(100)),
    Slowness::Nowhere,
];

/// Rates at which requests are read, in bytes a second.
const READ_RATES: [usize; 4] = [10_000, 20_000, 150_000, 1_000_000];

/// Ways in which a stream is slow.
fn streams() -> Vec<Slowness> {
    let mut all = vec![
        Slowness::BeforeFirstEvent(ms(900)),
        Slowness::BeforeFirstEvent(ms(20_000)),
        Slowness::CommentsOnly(ms(300)),
        Slowness::CommentsInPieces(ms(20)),
        Slowness::BetweenEvents(ms(2_500)),
        Slowness::BetweenEvents(ms(4_500)),
        Slowness::BetweenEvents(ms(5_600)),
        Slowness::WithinEvents(ms(1_000)),
        Slowness::WithinEvents(ms(2_200)),
        Slowness::WithinEvents(ms(2_700)),
        Slowness::StopsBehindEvent,
        Slowness::StopsWithinEvent(ms(300)),
        Slowness::StopsWithinEvent(ms(1_500)),
        Slowness::StopsWithinEvent(ms(4_000)),
        Slowness::EndlessEvent(ms(50)),
        Slowness::EndlessEvent(ms(2_000)),
        Slowness::CommentsBehindEvent(ms(500)),
    ];
    for bytes in FIRST_EVENT_BYTES {
        all.push(Slowness::WithinFirstEvent(bytes, ms(100)));
        all.push(Slowness::WithinFirstEvent(bytes, ms(900)));
    }
    all
}

/// Returns every play: each way of being slow, for one server and for all, on each front and with each patience.
pub fn all(requests: usize) -> Vec<Play> {
    let mut plays = Vec::new();
    let mut add = |front, manner, slow, patience, prompt_bytes| {
        plays.push(Play { front, manner, slow, patience, prompt_bytes, requests });
    };
    let answers = |slowness| Manner { slowness, ..Manner::USUAL };
    let reads = |rate| Manner { read_rate: Some(rate), ..Manner::USUAL };
    for patience in PATIENCE {
        for front in [Front::Platform, Front::Chat, Front::ChatWhole] {
            let slow_writers = [SlowServers::OneWriter, SlowServers::AllWriters];
            let slow_readers = [SlowServers::OneReader, SlowServers::AllReaders];
            for slow in slow_writers.into_iter().chain(slow_readers) {
                let is_reader = slow_readers.contains(&slow);
                if is_reader && front != Front::Platform {
                    continue;
                }
                for slowness in ANY_ANSWER {
                    add(front, answers(slowness), slow, patience, SHORT_PROMPT_BYTES);
                }
                for rate in READ_RATES {
                    add(front, reads(rate), slow, patience, LARGE_PROMPT_BYTES);
                }
                for slowness in streams().into_iter().filter(|_| !is_reader) {
                    add(front, answers(slowness), slow, patience, SHORT_PROMPT_BYTES);
                }
            }
        }
    }
    plays
}

/// Stages of an answer in one piece: its body has not begun, or has.
const STAGES_OF_WHOLE: [Stage; 2] = [Stage::BeforeFirstEvent, Stage::BehindEvents(1)];

/// Returns the plays in which servers spoil their answers: every fault at every stage, at one server and at all, on each front.
pub fn spoilt(requests: usize) -> Vec<Play> {
    let mut plays = Vec::new();
    for spoil in spoilt::all() {
        let has_stage_of_whole =
            !matches!(spoil, Spoil::Chunk(_, stage) if !STAGES_OF_WHOLE.contains(&stage));
        for (front, slow) in PLACES {
            let is_stream = front != Front::ChatWhole && slow.role() == Role::Write;
            if is_stream || has_stage_of_whole {
                plays.push(form_play(front, slow, Slowness::Spoilt(spoil), requests));
            }
        }
    }
    plays
}

/// Returns the plays in which writers stream their answers in unusual forms.
pub fn unusual(requests: usize) -> Vec<Play> {
    let streams =
        PLACES.into_iter().filter(|(front, slow)| *front != Front::ChatWhole && slow.role() == Role::Write);
    let forms =
        |(front, slow)| unusual::ALL.map(|form| form_play(front, slow, Slowness::Unusual(form), requests));
    streams.flat_map(forms).collect()
}

/// Fronts, and which servers are in trouble behind them.
const PLACES: [(Front, SlowServers); 8] = [
    (Front::Platform, SlowServers::OneWriter),
    (Front::Platform, SlowServers::AllWriters),
    (Front::Platform, SlowServers::OneReader),
    (Front::Platform, SlowServers::AllReaders),
    (Front::Chat, SlowServers::OneWriter),
    (Front::Chat, SlowServers::AllWriters),
    (Front::ChatWhole, SlowServers::OneWriter),
    (Front::ChatWhole, SlowServers::AllWriters),
];

fn form_play(front: Front, slow: SlowServers, slowness: Slowness, requests: usize) -> Play {
    let manner = Manner { slowness, ..Manner::USUAL };
    Play { front, manner, slow, patience: PATIENCE[1], prompt_bytes: SHORT_PROMPT_BYTES, requests }
}

/// Returns so many plays drawn by a seed, in which slow servers read requests slowly and may answer slowly, too.
pub fn draw(seed: u64, count: usize) -> Vec<Play> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..count).map(|_| draw_play(&mut rng)).collect()
}

fn draw_play(rng: &mut SmallRng) -> Play {
    let front = [Front::Platform, Front::Platform, Front::Chat, Front::ChatWhole][rng.random_range(0..4)];
    let slow = match (front, rng.random_range(0..4)) {
        (Front::Platform, 0) => SlowServers::OneReader,
        (Front::Platform, 1) => SlowServers::AllReaders,
        (_, 2) => SlowServers::OneWriter,
        _ => SlowServers::AllWriters,
    };
    let streams = streams();
    let slowness = match rng.random_range(0..3) {
        0 => Slowness::Nowhere,
        1 => ANY_ANSWER[rng.random_range(0..ANY_ANSWER.len())],
        _ => streams[rng.random_range(0..streams.len())],
    };
    // From some kB to some MB a second, as likely in each power of ten.
    let read_rate = 10f64.powf(rng.random_range(3.3..6.7)) as usize;
    Play {
        front,
        manner: Manner { read_rate: Some(read_rate), slowness },
        slow,
        patience: ms(rng.random_range(300..8_000)),
        prompt_bytes: rng.random_range(SHORT_PROMPT_BYTES..LARGE_PROMPT_BYTES),
        requests: rng.random_range(1..=12),
    }
}

/// Builds the library that gives a program's connections small send buffers.
pub fn small_buffers(folder: &Path) -> std::io::Result<PathBuf> {
    let (source, library) = (folder.join("small_buffers.c"), folder.join("small_buffers.so"));
    std::fs::write(&source, include_str!("small_buffers.c"))?;
    let built = std::process::Command::new("cc")
        .args(["-shared", "-fPIC", "-O2", "-o"])
        .args([&library, &source])
        .status()?;
    if built.success() { Ok(library) } else { Err(std::io::Error::other("small_buffers.c does not build")) }
}

/// How the requests of one class went.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Whole streams.
    pub served: usize,
    /// Streams that ended without their last chunk.
    pub cut: usize,
    /// Answers of 429 or 503.
    pub refused: usize,
    /// Other answers, and ends without one.
    pub failed: usize,
    /// Requests with a broken rule.
    pub broken: usize,
}

/// Counts how the requests of a class went.
pub fn count(report: &Report, class: &str) -> Counts {
    let mut counts = Counts::default();
    for played in report.played.iter().filter(|played| played.class == class) {
        let place = match (played.exchange.status, played.exchange.is_whole) {
            (Some(200), true) => &mut counts.served,
            (Some(200), false) => &mut counts.cut,
            (Some(429 | 503), _) => &mut counts.refused,
            _ => &mut counts.failed,
        };
        *place += 1;
        counts.broken += usize::from(!played.findings.is_empty());
    }
    counts
}

/// Plays all, so many at once, and calls `tell` with each as it ends.
pub async fn run(
    program: &Path, preload: Option<&Path>, plays: Vec<Play>, at_once: usize,
    mut tell: impl FnMut(&Play, &std::io::Result<Report>),
) {
    let mut waiting = plays.into_iter();
    let mut running = JoinSet::new();
    loop {
        while running.len() < at_once.max(1)
            && let Some(play) = waiting.next()
        {
            let (program, preload) = (program.to_owned(), preload.map(Path::to_owned));
            running.spawn(async move { (play, play.run(&program, preload.as_deref()).await) });
        }
        match running.join_next().await {
            Some(Ok((play, report))) => tell(&play, &report),
            Some(Err(_)) => {}
            None => return,
        }
    }
}

/// Describes how a play went: a line for each class, and one for each kind of finding in it.
pub fn describe(play: &Play, report: &Report) -> String {
    let mut text = String::new();
    for (class, _) in CLASSES {
        let Counts { served, cut, refused, failed, broken } = count(report, class);
        text += &format!(
            "{:?} {:?} {:?} reads {} bytes of {}, patience {} ms, {class}: {served} served, {cut} cut, {refused} refused, \
             {failed} failed; {broken} break a rule\n",
            play.front,
            play.slow,
            play.manner.slowness,
            play.manner.read_rate.map_or("all".into(), |rate| format!("{rate}/s")),
            play.prompt_bytes,
            play.patience.as_millis()
        );
        let found = report.played.iter().filter(|played| played.class == class);
        for played in found.filter(|played| !played.findings.is_empty()) {
            let findings: Vec<_> = played.findings.iter().map(ToString::to_string).collect();
            text += &format!("  BROKEN {}: {}\n", played.exchange.id, findings.join(", "));
        }
    }
    text
}
