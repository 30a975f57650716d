//! Clients that send what cannot be served, on real processes: by the rig's rule on what they are owed.

use std::path::Path;

/// Guards against bad clients that are left without a word, served, or forwarded, and against others that suffer from them.
#[test]
fn bad_clients_get_an_error_or_a_close_in_time_and_others_are_served() {
    let program = Path::new(env!("CARGO_BIN_EXE_croftsill"));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let report = runtime.expect("a runtime").block_on(rig::bad_clients::play(program)).expect("a play");
    assert!(report.findings().is_empty(), "{:#?}", report.findings());
    assert!(report.met.len() > 40, "{}", report.met.len());
}
