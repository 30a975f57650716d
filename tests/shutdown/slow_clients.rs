//! Clients that take nothing of their streams for a while, around a shutdown.

use crate::around::serving_as;
use crate::clients::{Arrival, Front, read_answer};
use crate::stand_ins::Behaviour;
use crate::verdict::Got;
use crate::{DEADLINES_MS, Scenario};

/// Guards against a stream that is cut at a restart and ends as though it were whole, as its client had taken nothing for a while.
#[test]
fn a_stream_that_is_moved_while_its_client_reads_nothing_ends_without_the_last_chunk() {
    let scenario = Scenario::new(Front::Platform, DEADLINES_MS[1], Behaviour::Flood);
    let mut serving = serving_as(&Scenario { log_level: "debug", ..scenario });
    let socket = serving.client(Front::Platform, Arrival::Before, "1").send();
    serving.record.wait_until_stalled();
    serving.terminate();
    serving.program.logs("stream: moved");
    assert_eq!(read_answer(&socket).0, Got::Answer { status: 200, whole: false });
    serving.program.ended(true);
}
