//! Binary of an entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    bluebell_ingress::program::run()
}
