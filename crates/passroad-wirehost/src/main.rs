//! Reads batches of events from standard input and answers each with the actions of the decision module.
//! A fault in the input ends it with one line on standard error and exit code 2.

mod host;
mod line;
#[cfg(test)]
mod tests;

use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Serves until the input ends; the error names the line and what is wrong with it.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut number = 0u64;
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        number += 1;
        let at = |fault: String| format!("line {number}: {fault}");
        let read = input
            .read_until(b'\n', &mut bytes)
            .map_err(|e| at(e.to_string()))?;
        if read == 0 && host.between_batches() {
            return Ok(());
        }
        if bytes.pop() != Some(b'\n') {
            return Err(at("the input ends inside a batch".into()));
        }
        let text = std::str::from_utf8(&bytes).map_err(|_| at("not UTF-8".into()))?;
        if let Some(reply) = host.take(text).map_err(at)? {
            let sent = output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush());
            sent.map_err(|e| format!("line {number}: reply not written: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    match serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("passroad-wirehost: {fault}");
            ExitCode::from(2)
        }
    }
}
