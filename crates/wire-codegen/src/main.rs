//! Regenerates `src/generated` of the wire package from its `proto` folder. With
//! `--check`, compares the committed files with newly generated ones instead.
//!
//! Compiles the .proto files with protox, so that no protoc binary is needed.

use std::fs;
use std::path::Path;

use anyhow::{bail, Context, Result};

const FILES: [&str; 10] = [
    "link.proto",
    "config.proto",
    "request.proto",
    "rate.proto",
    "claim.proto",
    "endpoint.proto",
    "consensus.proto",
    "operate.proto",
    "command.proto",
    "serving.proto",
];

fn main() -> Result<()> {
    let check = std::env::args().any(|arg| arg == "--check");
    let root = &Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let committed = root.join("src/generated");
    let out = std::env::temp_dir().join(format!("mulberrywell-wire-{}", std::process::id()));
    fs::create_dir_all(&out)?;
    generate(root, &out)?;
    let result = if check {
        compare(&out, &committed)
    } else {
        copy(&out, &committed)
    };
    fs::remove_dir_all(&out)?;
    result
}

fn generate(root: &Path, out: &Path) -> Result<()> {
    let descriptors = protox::compile(FILES, [root.join("proto")])?;
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(out)
        .compile_fds(descriptors)
        .context("prost-build failed")
}

fn compare(generated: &Path, committed: &Path) -> Result<()> {
    for entry in fs::read_dir(generated)? {
        let entry = entry?;
        let path = committed.join(entry.file_name());
        let checked_in =
            fs::read(&path).with_context(|| format!("{} is missing", path.display()))?;
        if checked_in != fs::read(entry.path())? {
            bail!("{} does not match its .proto file", path.display());
        }
    }
    println!("the generated code matches");
    Ok(())
}

fn copy(generated: &Path, committed: &Path) -> Result<()> {
    fs::create_dir_all(committed)?;
    for entry in fs::read_dir(generated)? {
        let entry = entry?;
        fs::copy(entry.path(), committed.join(entry.file_name()))?;
    }
    Ok(())
}
