//! Reads batches from standard input, one a line, and writes one reply a line.
#![forbid(unsafe_code)]

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use croftsill::wire::Adapter;

fn serve() -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        let size =
            input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: cannot read: {e}"))?;
        if size == 0 {
            break;
        }
        let reply = adapter.batch(&line).map_err(|e| format!("line {number}: {e}"))?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|e| format!("line {number}: cannot write: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("croftsill-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
