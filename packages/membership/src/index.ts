/** Public exports of `@quetzalreel/membership`. */
export {};
