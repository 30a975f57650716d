//! What the program may use of its machine.

mod player;

use croftsill::api::{HostId, Role};
use croftsill::node::process::config::{Chat, Platform};
use croftsill::node::upstream::pool::{Endpoint, Pool};

#[test]
fn both_fronts_together_stay_under_the_limit_on_sockets() {
    let base = player::address();
    let mut platform = Platform::read(&player::platform(&base)).expect("a good configuration");
    let chat = Chat::read(&player::chat(&base, &["s1"], "")).expect("a good operator's file");
    let of_chat = chat.intake + chat.pool.max_connections;
    let of_platform = |p: &Platform| p.intake + p.pool.max_connections;
    // The rest is for operators, an upgrade, discovery, the listeners and the runtime, and for 16 connections that are
    // only turned away.
    assert!(of_platform(&platform) <= 1_024 - 36 - 16, "{}", of_platform(&platform));
    platform.leave(of_chat);
    assert!(of_platform(&platform) + of_chat <= 1_024 - 36 - 16, "{} and {of_chat}", of_platform(&platform));
}

#[test]
fn nothing_is_kept_of_an_instance_that_is_gone() {
    let platform = Platform::read(&player::platform(&player::address())).expect("a good configuration");
    let pool = Pool::new(platform.pool, Default::default());
    let addr = platform.listen;
    pool.set_endpoint(
        HostId(7),
        Some(Endpoint { name: "r1".into(), addr, role: Role::Read, is_ready: true }),
    );
    assert_eq!(pool.hosts(), [HostId(7)]);
    pool.set_endpoint(HostId(7), None);
    assert!(pool.hosts().is_empty());
}
