//! The policy: one TOML document. Strictly checked, each fault told with its key and line.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use toml::Spanned;
use xxhash_rust::xxh3::xxh3_128;

use crate::api::{Budgets, Micros, Settings};

/// Longest document, in bytes.
pub const DOCUMENT_MOST: usize = 16 * 1024;
/// Longest of all durations, in milliseconds.
const MS_MOST: f64 = 3_600_000.0;

/// What becomes of a conductor that nobody hears and that is not known to have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Silence {
    /// It goes on serving, and no change passes without it or an operator's word.
    #[default]
    Serve,
    /// It stops when its lease has run out, and changes pass without it.
    Stop,
}

/// A fault in a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Fault {
    /// The line, from 1; none where something is missing as a whole.
    pub line: Option<usize>,
    /// The key, with its table.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.key, self.what)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    silence: Silence,
    limits: Limits,
    classes: BTreeMap<String, ClassTerms>,
    #[serde(default)]
    budgets: Spending,
    #[serde(default)]
    tenants: BTreeMap<String, Spanned<f64>>,
    #[serde(default)]
    sites: BTreeMap<String, Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Limits {
    attempts: Spanned<u32>,
    come_back_ms: Spanned<f64>,
    client_connections: Option<Spanned<u32>>,
    instance_connections: Option<Spanned<u32>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Spending {
    retries: Option<Spanned<f64>>,
    cold: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassTerms {
    first_token_ms: Spanned<f64>,
    #[serde(default)]
    first_token_ms_per_1000: Option<Spanned<f64>>,
    deadline_ms: Spanned<f64>,
    token_ms: Spanned<f64>,
    worth: Spanned<f64>,
    #[serde(default)]
    late_worth: Option<Spanned<f64>>,
}

/// A checked document.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// What becomes of silent conductors.
    pub silence: Silence,
    /// Most attempts for a request.
    pub attempts: u32,
    /// Longest time after which refused clients come back.
    pub come_back: Micros,
    /// Most connections taken from clients, where it says.
    pub client_connections: Option<usize>,
    /// Most connections to instances, where it says.
    pub instance_connections: Option<usize>,
    /// What may be spent over all conductors.
    pub budgets: Budgets,
    /// The classes by name.
    pub classes: BTreeMap<String, Terms>,
    /// Shares of tenants, of 1 together.
    pub tenants: BTreeMap<String, f64>,
    /// Weights of sites.
    pub sites: BTreeMap<String, f64>,
}

/// What a class is owed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Time to the first token that earns full worth.
    pub aim: Micros,
    /// What each 1,000 prompt tokens add to it.
    pub aim_per_1000: Micros,
    /// The client's patience, at most.
    pub deadline: Micros,
    /// Wanted time between tokens.
    pub token_aim: Micros,
    /// Worth of one unit of work.
    pub worth: f64,
    /// Share of it that a late answer earns.
    pub late_worth: f64,
}

/// Tells documents apart.
pub fn digest(document: &str) -> String {
    format!("{:032x}", xxh3_128(document.as_bytes()))
}

/// The line, from 1, in which this byte of a text stands.
pub fn line_of(text: &str, at: usize) -> Option<usize> {
    Some(text.get(..at)?.matches('\n').count() + 1)
}

/// Checks values against their ranges, and remembers where they stand.
struct Checker<'a>(&'a str);

impl Checker<'_> {
    fn line(&self, at: usize) -> Option<usize> {
        line_of(self.0, at)
    }

    fn within<T: Copy + PartialOrd + fmt::Display>(
        &self, key: impl Into<String>, value: &Spanned<T>, (least, most): (T, T),
    ) -> Result<T, Fault> {
        let given = *value.get_ref();
        // Not a number lies in no range.
        if least <= given && given <= most {
            return Ok(given);
        }
        let what = format!("must lie between {least} and {most}, and is {given}");
        Err(Fault { line: self.line(value.span().start), key: key.into(), what })
    }

    fn ms(&self, key: String, value: &Spanned<f64>, least: f64) -> Result<Micros, Fault> {
        Ok((self.within(key, value, (least, MS_MOST))? * 1_000.0) as Micros)
    }
}

impl Policy {
    /// Reads a document.
    pub fn parse(document: &str) -> Result<Self, Fault> {
        let whole = |what: String| Fault { line: None, key: "document".into(), what };
        if document.len() > DOCUMENT_MOST {
            return Err(whole(format!("longer than {DOCUMENT_MOST} bytes")));
        }
        let check = Checker(document);
        let file: File = toml::from_str(document).map_err(|fault| {
            let at = fault.span().map(|span| span.start);
            let line = at.and_then(|at| check.line(at));
            let text = line.and_then(|n| document.lines().nth(n - 1)).unwrap_or_default();
            let key = text.split('=').next().unwrap_or_default().trim();
            let key = if key.is_empty() { "document" } else { key };
            Fault { line, key: key.into(), what: fault.message().replace('\n', " ") }
        })?;
        if file.classes.is_empty() {
            return Err(whole("names no class".into()));
        }
        let mut classes = BTreeMap::new();
        for (name, terms) in &file.classes {
            let key = |field: &str| format!("classes.{name}.{field}");
            let optional = |field: &str, value: &Option<Spanned<f64>>, most: f64| match value {
                Some(value) => check.within(key(field), value, (0.0, most)),
                None => Ok(0.0),
            };
            let checked = Terms {
                aim: check.ms(key("first_token_ms"), &terms.first_token_ms, 1.0)?,
                aim_per_1000: (optional("first_token_ms_per_1000", &terms.first_token_ms_per_1000, MS_MOST)?
                    * 1_000.0) as Micros,
                deadline: check.ms(key("deadline_ms"), &terms.deadline_ms, 1.0)?,
                token_aim: check.ms(key("token_ms"), &terms.token_ms, 0.001)?,
                worth: check.within(key("worth"), &terms.worth, (0.0, 1e6))?,
                late_worth: optional("late_worth", &terms.late_worth, 1.0)?,
            };
            if checked.deadline < checked.aim {
                let line = check.line(terms.deadline_ms.span().start);
                let what = "must not be below first_token_ms".into();
                return Err(Fault { line, key: key("deadline_ms"), what });
            }
            classes.insert(name.clone(), checked);
        }
        let weights = |table: &str, given: &BTreeMap<String, Spanned<f64>>, most: f64| {
            let one = |(name, value): (&String, &Spanned<f64>)| {
                Ok((name.clone(), check.within(format!("{table}.{name}"), value, (0.0, most))?))
            };
            given.iter().map(one).collect::<Result<BTreeMap<_, _>, Fault>>()
        };
        let tenants = weights("tenants", &file.tenants, 1.0)?;
        if tenants.values().sum::<f64>() > 1.0 + 1e-9 {
            let what = "the shares make more than 1 together".into();
            return Err(Fault { line: None, key: "tenants".into(), what });
        }
        let part = |field: &str, value: &Option<Spanned<f64>>, range: (f64, f64)| {
            let key = format!("budgets.{field}");
            value.as_ref().map(|value| check.within(key, value, range)).transpose()
        };
        let budgets = Budgets {
            retries: part("retries", &file.budgets.retries, (0.0, 3.0))?,
            cold: part("cold", &file.budgets.cold, (0.01, 1.0))?,
        };
        let limits = &file.limits;
        let connections = |field: &str, value: &Option<Spanned<u32>>| {
            let key = format!("limits.{field}");
            let value = value.as_ref().map(|value| check.within(key, value, (8, 65_536)));
            value.transpose().map(|value| value.map(|n| n as usize))
        };
        Ok(Policy {
            silence: file.silence,
            attempts: check.within("limits.attempts", &limits.attempts, (1, 4))?,
            come_back: check.ms("limits.come_back_ms".into(), &limits.come_back_ms, 0.0)?,
            client_connections: connections("client_connections", &limits.client_connections)?,
            instance_connections: connections("instance_connections", &limits.instance_connections)?,
            budgets,
            classes,
            tenants,
            sites: weights("sites", &file.sites, 1e6)?,
        })
    }

    /// These settings under this policy. It must name the deployment's classes, all of them and no others, and may
    /// name its tenants and sites: what exists, what a repeat does, kinds, cold and drain rules come from the
    /// deployment and cannot change while it runs.
    pub fn over(
        &self, settings: &Settings, classes: &[String], tenants: &[String], sites: &[String],
    ) -> Result<Settings, Fault> {
        let here = |key: String, what: &str| Fault { line: None, key, what: what.into() };
        let unknown = |table: &str, name: &String| {
            here(format!("{table}.{name}"), "is not in this deployment, and cannot come while it runs")
        };
        if let Some(name) = self.classes.keys().find(|name| !classes.contains(name)) {
            return Err(unknown("classes", name));
        }
        if let Some(name) = self.tenants.keys().find(|name| !tenants.contains(name)) {
            return Err(unknown("tenants", name));
        }
        if let Some(name) = self.sites.keys().find(|name| !sites.contains(name)) {
            return Err(unknown("sites", name));
        }
        if let Some(name) = classes.iter().find(|name| !self.classes.contains_key(*name)) {
            return Err(here(format!("classes.{name}"), "is missing"));
        }
        let mut after = settings.clone();
        for (name, class) in classes.iter().zip(&mut after.classes) {
            let Some(terms) = self.classes.get(name) else { continue };
            (class.aim, class.aim_per_1000) = (terms.aim, terms.aim_per_1000);
            (class.deadline, class.token_aim) = (terms.deadline, terms.token_aim);
            (class.worth, class.late_worth) = (terms.worth, terms.late_worth);
        }
        for (name, tenant) in tenants.iter().zip(&mut after.tenants) {
            tenant.share = self.tenants.get(name).copied();
        }
        let weight = |site: &String| self.sites.get(site).copied().unwrap_or(1.0);
        let weighs = !self.sites.is_empty();
        after.zone_weights = sites.iter().filter(|_| weighs).map(weight).collect();
        after.budgets = self.budgets.clone();
        after.limits.max_attempts = self.attempts;
        after.limits.come_back = Some(self.come_back).filter(|&time| time > 0);
        Ok(after)
    }
}
