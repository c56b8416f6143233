#!/usr/bin/env node
import '../dist/cli/main.js';
