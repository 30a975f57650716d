//! The command line: serving, and operators' calls from a shell.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::{Args, Parser, Subcommand, ValueEnum};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use similar::TextDiff;

use crate::control::policy::{Policy, digest};
use crate::node::process::config::Chat;
use crate::peers::roster::Roster;

/// For one call to a conductor, which owes its answer within a second.
const CALL: Duration = Duration::from_secs(3);
/// Between looks at a change that has not ended.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Longest answer taken.
const ANSWER_MOST: usize = 4 * 1024 * 1024;
/// Exit codes, for scripts: 0 is yes, 1 a fault, 2 (by `clap`) a wrong command line.
const TURNED_DOWN: u8 = 3;
const UNKNOWN: u8 = 4;

/// The conductor of a model fleet. Without a command it serves.
#[derive(Parser)]
#[command(name = "croftsill", version, args_conflicts_with_subcommands = true)]
pub struct Line {
    /// What to do, where it is not to serve.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// How to serve.
    #[command(flatten)]
    pub words: Words,
}

/// How to serve.
#[derive(Args, Clone, Default)]
pub struct Words {
    /// Set the chat front up by this file
    #[arg(long, value_name = "FILE")]
    pub chat: Option<PathBuf>,
    /// Know the other conductors by this file, and share one policy with them
    #[arg(long, value_name = "FILE")]
    pub cluster: Option<PathBuf>,
    /// The form of the log on standard error
    #[arg(long, value_enum, default_value_t)]
    pub log: LogForm,
}

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogForm {
    /// Lines of text.
    #[default]
    Text,
    /// An object a line.
    Json,
}

/// Commands.
#[derive(Subcommand)]
pub enum Command {
    /// Serve, as without a command
    Serve(Words),
    /// Check a file without using it
    Check {
        /// The file
        file: PathBuf,
        /// What it is
        #[arg(long = "as", value_enum, default_value_t)]
        kind: Kind,
        /// For a cluster file: the conductor that is to use it
        #[arg(long, default_value = "")]
        name: String,
        /// Answer in JSON
        #[arg(long)]
        json: bool,
    },
    /// The policy that all conductors share
    #[command(subcommand)]
    Policy(PolicyCommand),
    /// The conductors
    #[command(subcommand)]
    Peers(PeersCommand),
    /// State that all conductors share: marks, returns, what was learnt
    #[command(subcommand)]
    State(StateCommand),
}

/// What a file is.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub enum Kind {
    /// A policy.
    #[default]
    Policy,
    /// Who the conductors are.
    Cluster,
    /// A chat front's.
    Chat,
}

/// Where to call, and how to answer.
#[derive(Args, Clone)]
pub struct At {
    /// The operator's address of any conductor
    #[arg(long, value_name = "ADDRESS", env = "LB_OPERATOR")]
    at: String,
    /// Answer in JSON
    #[arg(long)]
    json: bool,
}

/// Of the policy.
#[derive(Subcommand)]
pub enum PolicyCommand {
    /// Propose a document. Exit: 0 applied, 3 turned down, 4 unknown
    Propose {
        /// The document
        file: PathBuf,
        /// Turn it down unless this revision is in force
        #[arg(long)]
        base: Option<u64>,
        /// Seconds to wait for its end
        #[arg(long, default_value_t = 15.0)]
        wait: f64,
        /// Where to call
        #[command(flatten)]
        at: At,
    },
    /// What is in force, or how a change ended. Exit, with a change: as of propose
    Status {
        /// The change's number
        change: Option<String>,
        /// Where to call
        #[command(flatten)]
        at: At,
    },
    /// The changes that have ended, the newest first
    History {
        /// Where to call
        #[command(flatten)]
        at: At,
    },
    /// What one revision has otherwise than another
    Diff {
        /// The older one
        from: u64,
        /// The newer one
        to: u64,
        /// Where to call
        #[command(flatten)]
        at: At,
    },
    /// Propose an earlier revision's document. Exit: as of propose
    Rollback {
        /// The earlier revision
        revision: u64,
        /// Seconds to wait for its end
        #[arg(long, default_value_t = 15.0)]
        wait: f64,
        /// Where to call
        #[command(flatten)]
        at: At,
    },
}

/// Of the conductors.
#[derive(Subcommand)]
pub enum PeersCommand {
    /// Who they are
    List {
        /// Where to call
        #[command(flatten)]
        at: At,
    },
    /// Make one a member no longer. Make sure first that it does not serve: nobody waits for it any more
    Remove {
        /// Its name
        name: String,
        /// Where to call
        #[command(flatten)]
        at: At,
    },
}

/// Of shared state.
#[derive(Subcommand)]
pub enum StateCommand {
    /// Where it stands: lag, counters, marks, what is set aside. Exit: 3 where a copy is set aside
    Status {
        /// Where to call
        #[command(flatten)]
        at: At,
    },
    /// What another conductor holds otherwise. Exit: 0 nothing, 3 something
    Diff {
        /// The other conductor's operator's address
        peer: String,
        /// Where to call
        #[command(flatten)]
        at: At,
    },
    /// Write all that lasts to standard output, as `import` takes it
    Export {
        /// Where to call
        #[command(flatten)]
        at: At,
    },
    /// Merge an export, by the rules that hold between conductors: it never undoes what is newer. Exit: 3 where something is turned down
    Import {
        /// The export
        file: PathBuf,
        /// Where to call
        #[command(flatten)]
        at: At,
    },
}

/// Why a command gives no answer.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    #[error("{0}")]
    Unfit(String),
    #[error("no answer from {0}: {1}")]
    Silent(String, String),
    #[error("{0}")]
    No(String),
}

impl Line {
    /// The program's command line. `--help` ends the process, and so does a fault, which is told in one line.
    pub fn read() -> Self {
        let mut line = Line::try_parse().unwrap_or_else(|fault| {
            if !fault.use_stderr() {
                fault.exit();
            }
            let text = fault.to_string();
            let first = text.lines().next().unwrap_or_default().trim_start_matches("error: ");
            eprintln!("croftsill: {first}; usage: croftsill --help");
            std::process::exit(fault.exit_code());
        });
        if let Some(Command::Serve(words)) = &line.command {
            (line.words, line.command) = (words.clone(), None);
        }
        line
    }
}

impl Command {
    /// Carries the command out.
    pub fn run(self) -> ExitCode {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let done = match runtime {
            Ok(runtime) => runtime.block_on(self.carry_out()),
            Err(fault) => Err(Fault::Unfit(fault.to_string())),
        };
        done.unwrap_or_else(|fault| {
            eprintln!("croftsill: {fault}");
            ExitCode::FAILURE
        })
    }

    async fn carry_out(self) -> Result<ExitCode, Fault> {
        match self {
            Command::Serve(_) => Ok(ExitCode::SUCCESS),
            Command::Check { file, kind, name, json } => check(&file, kind, &name, json),
            Command::Policy(PolicyCommand::Propose { file, base, wait, at }) => {
                propose(&at, read(&file)?, base, wait).await
            }
            Command::Policy(PolicyCommand::Status { change: Some(change), at }) => {
                Ok(ended(&at, &at.get(&format!("/policy/changes/{change}")).await?))
            }
            Command::Policy(PolicyCommand::Status { change: None, at }) => {
                let status = at.get("/policy").await?;
                at.show(&status, |s| {
                    let text = |key: &str| plain(&s[key]);
                    let change = if s["change"].is_null() { "none".into() } else { s["change"].to_string() };
                    format!(
                        "revision {} (digest {}), silence = {}\nchange under way: {change}\nleader {}, term {}, entry \
                         {}\n{} takes requests: {}",
                        text("revision"),
                        text("digest"),
                        text("silence"),
                        text("leader"),
                        text("term"),
                        text("applied"),
                        text("name"),
                        text("takes")
                    )
                });
                Ok(ExitCode::SUCCESS)
            }
            Command::Policy(PolicyCommand::History { at }) => {
                let status = at.get("/policy").await?;
                at.show(&status["history"], |history| {
                    let line = |past: &Value| match &past["why"] {
                        Value::Null => {
                            format!("{} applied as revision {}", plain(&past["id"]), past["revision"])
                        }
                        why => format!("{} turned down: {} {}", plain(&past["id"]), past["who"], plain(why)),
                    };
                    history.as_array().into_iter().flatten().map(line).collect::<Vec<_>>().join("\n")
                });
                Ok(ExitCode::SUCCESS)
            }
            Command::Policy(PolicyCommand::Diff { from, to, at }) => {
                let (from, to) = (at.document(from).await?, at.document(to).await?);
                let diff = TextDiff::from_lines(&from, &to);
                let text = diff.unified_diff().context_radius(2).to_string();
                at.show(&serde_json::json!({ "diff": text }), |_| text.trim_end().into());
                Ok(ExitCode::SUCCESS)
            }
            Command::Policy(PolicyCommand::Rollback { revision, wait, at }) => {
                let document = at.document(revision).await?;
                propose(&at, document, None, wait).await
            }
            Command::Peers(PeersCommand::List { at }) => {
                let status = at.get("/peers").await?;
                at.show(&status["peers"], |peers| {
                    let line = |peer: &Value| {
                        let votes = if peer["votes"] == true { "votes" } else { "learns" };
                        let live = if peer["live"] == true { "registered" } else { "away" };
                        let heard = if peer["heard"] == true { "heard" } else { "silent" };
                        let text = |key: &str| plain(&peer[key]);
                        format!(
                            "{}  {}  {}  {votes}  {live}  {heard}",
                            text("name"),
                            text("address"),
                            text("site")
                        )
                    };
                    peers.as_array().into_iter().flatten().map(line).collect::<Vec<_>>().join("\n")
                });
                Ok(ExitCode::SUCCESS)
            }
            Command::State(StateCommand::Status { at }) => {
                let state = at.get("/state").await?;
                let aside = state["set_aside"].as_array().is_some_and(|all| !all.is_empty());
                at.show(&state, |s| {
                    let counts = s["counters"].as_object().into_iter().flatten();
                    let counts: Vec<_> = counts.map(|(name, count)| format!("{name} {count}")).collect();
                    let marks: Vec<_> = s["marks"].as_array().into_iter().flatten().map(Value::to_string).collect();
                    format!(
                        "root {}, {} items, caught up: {}, {} ms since it was equal to another's\nmarks (agreed by all: {}): {}\nduties:                          {}, named requests kept: {}\nset aside: {}\n{}",
                        plain(&s["root"]),
                        s["items"],
                        s["caught_up"],
                        s["lag_ms"],
                        s["marks_agreed"],
                        if marks.is_empty() { "none".into() } else { marks.join(" ") },
                        plain(&s["duties"]),
                        s["named_requests"],
                        s["set_aside"],
                        counts.join(", ")
                    )
                });
                Ok(if aside { ExitCode::from(TURNED_DOWN) } else { ExitCode::SUCCESS })
            }
            Command::State(StateCommand::Diff { peer, at }) => {
                let other = At { at: peer, json: at.json };
                let (here, there) = (at.get("/state/export").await?, other.get("/state/export").await?);
                let items = |export: &Value| -> BTreeMap<String, String> {
                    let all = export["items"].as_array().into_iter().flatten();
                    all.map(|item| (plain(&item["key"]), item["value"].to_string())).collect()
                };
                let (here, there) = (items(&here), items(&there));
                let keys: BTreeSet<_> = here.keys().chain(there.keys()).collect();
                let differ: Vec<_> =
                    keys.into_iter().filter(|key| here.get(*key) != there.get(*key)).collect();
                let value = serde_json::json!(
                    differ.iter().map(|key| serde_json::json!({ "key": key, "here": here.get(*key), "there": there.get(*key) })).collect::<Vec<_>>()
                );
                at.show(&value, |_| {
                    let none = || "nothing".to_owned();
                    let line = |key: &&&String| {
                        let side =
                            |all: &BTreeMap<String, String>| all.get(**key).cloned().unwrap_or_else(none);
                        format!("{key}\n  here:  {}\n  there: {}", side(&here), side(&there))
                    };
                    if differ.is_empty() {
                        "the same".into()
                    } else {
                        differ.iter().map(|k| line(&k)).collect::<Vec<_>>().join("\n")
                    }
                });
                Ok(if differ.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(TURNED_DOWN) })
            }
            Command::State(StateCommand::Export { at }) => {
                println!("{}", at.get("/state/export").await?);
                Ok(ExitCode::SUCCESS)
            }
            Command::State(StateCommand::Import { file, at }) => {
                let asked = at.call(Method::POST, "/state/import", read(&file)?).await?;
                let told = fine(asked)?;
                at.show(&told, |t| {
                    format!(
                        "{} taken, {} known before, {} turned down",
                        t["taken"], t["known"], t["turned_down"]
                    )
                });
                Ok(if told["turned_down"] == 0 { ExitCode::SUCCESS } else { ExitCode::from(TURNED_DOWN) })
            }
            Command::Peers(PeersCommand::Remove { name, at }) => {
                let asked = at.call(Method::POST, &format!("/peers/{name}/remove"), String::new()).await?;
                let asked = fine(asked)?;
                let until = Instant::now() + Duration::from_secs(5);
                while Instant::now() < until {
                    let status = at.get("/peers").await?;
                    let mut peers = status["peers"].as_array().into_iter().flatten();
                    if !peers.any(|peer| peer["name"] == name.as_str()) {
                        at.show(&asked, |_| format!("{name} is a member no longer"));
                        return Ok(ExitCode::SUCCESS);
                    }
                    tokio::time::sleep(LOOK_AGAIN).await;
                }
                at.show(&asked, |_| {
                    format!("unknown: {name} is still a member; look again with `peers list`")
                });
                Ok(ExitCode::from(UNKNOWN))
            }
        }
    }
}

fn read(file: &Path) -> Result<String, Fault> {
    std::fs::read_to_string(file).map_err(|fault| Fault::File(file.display().to_string(), fault))
}

fn check(file: &Path, kind: Kind, name: &str, json: bool) -> Result<ExitCode, Fault> {
    let text = read(file)?;
    let unfit = |fault: &dyn std::fmt::Display| Fault::Unfit(format!("{}: {fault}", file.display()));
    match kind {
        Kind::Policy => drop(Policy::parse(&text).map_err(|fault| unfit(&fault))?),
        Kind::Cluster => drop(Roster::read(file, name).map_err(|fault| Fault::Unfit(fault.to_string()))?),
        Kind::Chat => drop(Chat::read(file).map_err(|fault| Fault::Unfit(fault.to_string()))?),
    }
    let digest = digest(&text);
    if json {
        println!("{}", serde_json::json!({ "ok": true, "digest": digest }));
    } else {
        println!("{}: well formed, digest {digest}", file.display());
    }
    Ok(ExitCode::SUCCESS)
}

/// A value as operators read it.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// An answer that is a yes.
fn fine((status, body): (u16, Value)) -> Result<Value, Fault> {
    match status {
        200..300 => Ok(body),
        _ => Err(Fault::No(body["error"].as_str().map_or_else(|| body.to_string(), str::to_owned))),
    }
}

async fn propose(at: &At, document: String, base: Option<u64>, wait: f64) -> Result<ExitCode, Fault> {
    let until = Instant::now() + Duration::from_secs_f64(wait.clamp(0.0, 3_600.0));
    let query = base.map_or(String::new(), |base| format!("?base={base}"));
    let (status, mut body) = at.call(Method::POST, &format!("/policy{query}"), document).await?;
    if body["outcome"].is_null() {
        return Err(fine((status, body)).err().unwrap_or(Fault::No("an answer without an outcome".into())));
    }
    while body["outcome"] == "unknown" && Instant::now() < until {
        tokio::time::sleep(LOOK_AGAIN).await;
        let see = plain(&body["see"]);
        // A conductor that goes away meanwhile leaves the outcome unknown, not failed.
        match at.call(Method::GET, &see, String::new()).await {
            Ok((_, seen)) if !seen["outcome"].is_null() => body = seen,
            _ => {}
        }
    }
    Ok(ended(at, &body))
}

fn ended(at: &At, body: &Value) -> ExitCode {
    let (text, code) = match body["outcome"].as_str() {
        Some("applied") => (format!("applied as revision {}", body["revision"]), 0),
        Some("turned_down") => (format!("turned down: {} {}", body["who"], plain(&body["why"])), TURNED_DOWN),
        _ => {
            let again = format!("croftsill policy status {}", plain(&body["id"]));
            (format!("unknown ({}); look again with `{again}`", plain(&body["phase"])), UNKNOWN)
        }
    };
    at.show(body, |_| text);
    ExitCode::from(code)
}

impl At {
    fn show(&self, value: &Value, text: impl FnOnce(&Value) -> String) {
        if self.json { println!("{value}") } else { println!("{}", text(value)) }
    }

    async fn get(&self, path: &str) -> Result<Value, Fault> {
        let (status, body) = self.call(Method::GET, path, String::new()).await?;
        // A change that was turned down is told by its status, too.
        if body["outcome"].is_string() { Ok(body) } else { fine((status, body)) }
    }

    async fn document(&self, revision: u64) -> Result<String, Fault> {
        Ok(plain(&self.get(&format!("/policy/revisions/{revision}")).await?["document"]))
    }

    async fn call(&self, method: Method, path: &str, body: String) -> Result<(u16, Value), Fault> {
        let silent = |fault: &dyn std::fmt::Display| Fault::Silent(self.at.clone(), fault.to_string());
        let exchange = async {
            let socket = tokio::net::TcpStream::connect(&self.at).await.map_err(|e| silent(&e))?;
            let made = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await;
            let (mut sender, connection) = made.map_err(|e| silent(&e))?;
            tokio::spawn(connection);
            let request = Request::builder().method(method).uri(path).header("host", &self.at);
            let request = request.body(Full::new(Bytes::from(body))).map_err(|e| silent(&e))?;
            let answer = sender.send_request(request).await.map_err(|e| silent(&e))?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), ANSWER_MOST).collect().await;
            let body = body.map_err(|e| silent(&e))?.to_bytes();
            let text = || Value::String(String::from_utf8_lossy(&body).trim().to_owned());
            let told = || serde_json::json!({ "error": text() });
            Ok((status, serde_json::from_slice(&body).unwrap_or_else(|_| told())))
        };
        tokio::time::timeout(CALL, exchange).await.unwrap_or_else(|_| Err(silent(&"it took too long")))
    }
}
