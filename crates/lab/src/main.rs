//! Entry point of `bluebell-lab`.

fn main() -> anyhow::Result<()> {
    bluebell_lab::commands::run()
}
