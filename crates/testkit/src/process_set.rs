//! Processes that a test starts, with their settings and logs in one folder.
//!
//! Guarantees: only processes of the set are signalled, by their ids; all of
//! them end with the set.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::{bail, Context, Result};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tempfile::TempDir;

/// Bytes of each log that a failed test shows.
const LOG_TAIL_LEN: usize = 4_000;

#[derive(Debug)]
struct ProcessSlot {
    child: Child,
    settings: PathBuf,
    binary: PathBuf,
    args: Vec<String>,
}

/// Running processes by name.
#[derive(Debug)]
pub struct ProcessSet {
    folder: TempDir,
    slots: BTreeMap<String, ProcessSlot>,
}

impl ProcessSet {
    /// Creates a set without processes in a new folder.
    ///
    /// # Errors
    /// Fails when the folder can't be made.
    pub fn open() -> Result<Self> {
        Ok(ProcessSet {
            folder: TempDir::new()?,
            slots: BTreeMap::new(),
        })
    }

    /// Returns the folder of settings, data and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the path of a file in the folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Starts a process with `settings` in a file of its own, whose path follows
    /// `args` on its command line.
    ///
    /// # Errors
    /// Fails when it can't be started.
    pub fn start(
        &mut self,
        name: &str,
        binary: &Path,
        args: &[&str],
        settings: &str,
    ) -> Result<()> {
        let path = self.path(&format!("{name}.toml"));
        fs::write(&path, settings)?;
        let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        let child = self.launch(name, binary, &args, &path)?;
        let slot = ProcessSlot {
            child,
            settings: path,
            binary: binary.to_owned(),
            args,
        };
        self.slots.insert(name.to_owned(), slot);
        Ok(())
    }

    fn launch(&self, name: &str, binary: &Path, args: &[String], settings: &Path) -> Result<Child> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))?;
        Command::new(binary)
            .args(args)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("can't start {name}"))
    }

    fn slot(&self, name: &str) -> Result<&ProcessSlot> {
        self.slots.get(name).context("no such process")
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        let id = self.slot(name)?.child.id();
        kill(Pid::from_raw(i32::try_from(id)?), signal)?;
        Ok(())
    }

    /// Kills a process without warning.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGKILL)?;
        self.wait(name)?;
        Ok(())
    }

    /// Stops a process without ending it, as a stalled machine does.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn freeze(&self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn thaw(&self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGCONT)
    }

    /// Waits for a process to end; true when it ended well.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn wait(&mut self, name: &str) -> Result<bool> {
        let slot = self.slots.get_mut(name).context("no such process")?;
        Ok(slot.child.wait()?.success())
    }

    /// Tells whether a process still runs.
    pub fn is_running(&mut self, name: &str) -> bool {
        self.slots
            .get_mut(name)
            .is_some_and(|slot| matches!(slot.child.try_wait(), Ok(None)))
    }

    /// Returns the process id.
    pub fn id(&self, name: &str) -> Option<u32> {
        self.slots.get(name).map(|slot| slot.child.id())
    }

    /// Changes the settings file of a process, which takes effect when it reads
    /// them next.
    ///
    /// # Errors
    /// Fails when the file can't be read or written.
    pub fn edit_settings(&self, name: &str, edit: impl FnOnce(&str) -> String) -> Result<()> {
        let path = &self.slot(name)?.settings;
        fs::write(path, edit(&fs::read_to_string(path)?))?;
        Ok(())
    }

    /// Starts an ended process again with its settings.
    ///
    /// # Errors
    /// Fails when it still runs or can't be started.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        if self.is_running(name) {
            bail!("{name} still runs");
        }
        let slot = self.slot(name)?;
        let child = self.launch(name, &slot.binary, &slot.args, &slot.settings)?;
        if let Some(slot) = self.slots.get_mut(name) {
            slot.child = child;
        }
        Ok(())
    }

    /// Returns the log of a process, of all its starts.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.path(&format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for ProcessSet {
    fn drop(&mut self) {
        for slot in self.slots.values_mut() {
            // Either fails only for a process that has ended.
            let _ = slot.child.kill();
            let _ = slot.child.wait();
        }
        if std::thread::panicking() {
            for name in self.slots.keys() {
                let log = self.log(name);
                let start = log.len().saturating_sub(LOG_TAIL_LEN);
                eprintln!("--- log of {name}\n{}", log.get(start..).unwrap_or(&log));
            }
        }
    }
}
