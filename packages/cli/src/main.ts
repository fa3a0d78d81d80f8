#!/usr/bin/env node
import { runCli } from "./Cli.js";

await runCli(process.argv.slice(2));
