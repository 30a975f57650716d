//! What the two processes of an upgrade tell each other about request ids.

use std::fmt::Write;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::table::{Ended, IdHash};

/// Hexadecimal digits of one id.
const ID_DIGITS: usize = 32;

/// Ids, written as one text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IdList(pub Vec<IdHash>);

impl IdList {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for IdList {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut text = String::with_capacity(self.0.len() * ID_DIGITS);
        for id in &self.0 {
            // Writing to a string cannot fail.
            let _ = write!(text, "{id:0width$x}", width = ID_DIGITS);
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for IdList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let digits = text.as_bytes().chunks(ID_DIGITS).map(|digits| {
            let digits = std::str::from_utf8(digits).ok().filter(|digits| digits.len() == ID_DIGITS)?;
            IdHash::from_str_radix(digits, 16).ok()
        });
        let ids = digits.collect::<Option<_>>();
        ids.map(IdList)
            .ok_or_else(|| serde::de::Error::custom("ids are written in 32 hexadecimal digits each"))
    }
}

/// Ids by what is known of their requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KnownIds {
    /// They are open.
    #[serde(skip_serializing_if = "IdList::is_empty")]
    pub open: IdList,
    /// They have ended, may have run, and must not run twice.
    #[serde(skip_serializing_if = "IdList::is_empty")]
    pub may_have_run: IdList,
    /// They have ended, and running them again does no harm.
    #[serde(skip_serializing_if = "IdList::is_empty")]
    pub harmless: IdList,
    /// They have ended, and nothing was sent for them.
    #[serde(skip_serializing_if = "IdList::is_empty")]
    pub never_sent: IdList,
}

impl KnownIds {
    /// Ids whose requests have ended in one way.
    pub fn ended(ids: Vec<IdHash>, ended: Ended) -> Self {
        match ended {
            Ended::MayHaveRun => KnownIds { may_have_run: IdList(ids), ..KnownIds::default() },
            Ended::Harmless => KnownIds { harmless: IdList(ids), ..KnownIds::default() },
            Ended::NeverSent => KnownIds { never_sent: IdList(ids), ..KnownIds::default() },
        }
    }

    /// The same in parts of at most so many ids.
    pub fn split(self, max_ids: usize) -> Vec<KnownIds> {
        let parts = |ids: IdList| ids.0.chunks(max_ids).map(<[IdHash]>::to_vec).collect::<Vec<_>>();
        let open =
            parts(self.open).into_iter().map(|ids| KnownIds { open: IdList(ids), ..KnownIds::default() });
        let may_have_run =
            parts(self.may_have_run).into_iter().map(|ids| KnownIds::ended(ids, Ended::MayHaveRun));
        let harmless = parts(self.harmless).into_iter().map(|ids| KnownIds::ended(ids, Ended::Harmless));
        open.chain(may_have_run).chain(harmless).collect()
    }
}

/// One message about ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdMessage {
    /// These are known.
    Known(KnownIds),
    /// Asks the owner for an id.
    Claim(IdList),
    /// The owner's answer to a claim.
    Claimed {
        /// The id that was asked for.
        id: IdList,
        /// Whether the asker may take it.
        granted: bool,
    },
    /// The newer process is the owner from now on.
    HandedOver,
}

#[cfg(test)]
mod tests;
