//! The process's own life: its [`config`] and how it is replaced ([`reload`]), its [`start`], where it stands
//! ([`readiness`]), its [`shutdown`] by a [`schedule`], and the
//! [`handover`] to a newer process over their link ([`succession`]).

pub mod config;
pub mod handover;
pub mod readiness;
pub mod reload;
pub mod schedule;
pub mod shutdown;
pub mod start;
pub mod succession;
